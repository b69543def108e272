import * as blockedTimes from '../util/blocked-times.js';
import type * as endpointEntry from './endpoint-entry.js';

/** An endpoint, as far as its path matters. */
export type PathEnd = Pick<endpointEntry.EndpointEntry, 'id' | 'pool'>;

/** A pool from which data arrived at a VM. */
export type ReachedPool = {
	readonly pool: string;
	/** Milliseconds since an endpoint of the pool last sent data to the VM. */
	readonly ageMs: number;
};

/** Options of {@link EndpointPaths}, in milliseconds. */
export type PathOptions = {
	/** Time without data from an endpoint that owes a response, after which its path is suspected. */
	readonly silenceMs: number;
	/** Time between two checks of a suspected path. */
	readonly suspectedCheckMs: number;
	/** Time after a failed check until the next one, while no other VM is known to reach the endpoint; their digests take as long. */
	readonly unconfirmedCheckMs: number;
	/** Time between two checks of a path that is interrupted. */
	readonly interruptedCheckMs: number;
	/** Time after which what arrived from a pool is no longer told to other VMs. */
	readonly maxToldAgeMs: number;
};

/** A caller of a plain service waits for 0.6 s, so that its first try at another endpoint still counts; callers return to a direct path within a second. */
export const defaultPathOptions: PathOptions = {
	silenceMs: 250, suspectedCheckMs: 1000, unconfirmedCheckMs: 200, interruptedCheckMs: 500, maxToldAgeMs: 1500,
};

type PathRecord = {
	readonly pool: string;
	lastReceivedAt: number;
	/** When the first part of each response is due, by attempt. */
	readonly dueAt: Map<string, number>;
	/** When a connection first failed since data last arrived; `Infinity` if none has. */
	failedAt: number;
	/** Since when nothing had come when the path was found to be interrupted; absent while it is not. */
	interruptedSince?: number;
	checkedAt: number;
	/** Whether the last check failed. */
	hasFailedCheck: boolean;
};

/** Paths that are checked at once when one is found to be interrupted, since several often are. */
const maxChecksPerRound = 64;

/**
 * The direct network paths from this VM to the endpoints. A path is suspected while its endpoint owes a response or a connection has failed; a check, which opens
 * a connection, tells a slow endpoint from an interrupted path. Whether the endpoint itself is down, a connection through another VM tells. All times are in milliseconds of the
 * monotonic clock.
 */
export class EndpointPaths {
	readonly #paths = new Map<string, PathRecord>();
	readonly #blockedTimes = new blockedTimes.BlockedTimes();
	#lastInterruptedAt = -Infinity;

	constructor(private readonly options: PathOptions = defaultPathOptions) {}

	/** Records that this VM read nothing for a time, which does not count as silence. */
	recordBlocked(blockedMs: number, now: number): void {
		this.#blockedTimes.record(blockedMs, now);
	}

	/** Records a request to an endpoint, of which a part of the response is due at a time. */
	recordSent(end: PathEnd, attempt: string, dueAt: number): void {
		this.#getOrCreate(end).dueAt.set(attempt, dueAt);
	}

	/** Records that data arrived from an endpoint. */
	recordReceived(end: PathEnd, attempt: string, now: number): void {
		const path = this.#getOrCreate(end);
		path.lastReceivedAt = now;
		path.failedAt = Infinity;
		path.dueAt.delete(attempt);
	}

	/** Records that a connection to an endpoint could not be opened, or broke off. */
	recordFailure(end: PathEnd, now: number): void {
		const path = this.#getOrCreate(end);
		path.failedAt = Math.min(path.failedAt, now);
	}

	/** Records the end of an attempt, regardless of its outcome. */
	recordEnd({id}: PathEnd, attempt: string): void {
		this.#paths.get(id)?.dueAt.delete(attempt);
	}

	/** Whether the path to an endpoint is interrupted, while another VM reaches it. */
	isInterrupted(endpoint: string): boolean {
		return this.#paths.get(endpoint)?.interruptedSince !== undefined;
	}

	/** Returns the listed endpoints whose paths are due for a check, and counts them as checked. */
	startDueChecks(listed: readonly PathEnd[], now: number): string[] {
		const due = listed.filter(end => this.#isDue(this.#paths.get(end.id), now)).slice(0, maxChecksPerRound);
		for (const end of due) {
			this.#getOrCreate(end).checkedAt = now;
		}

		return due.map(({id}) => id);
	}

	/** Returns since when nothing has come over a path that is suspected or interrupted; `undefined` if it is neither. */
	silentSince(endpoint: string, now: number): number | undefined {
		const path = this.#paths.get(endpoint);
		if (path === undefined || path.interruptedSince !== undefined) {
			return path?.interruptedSince;
		}

		const since = Math.max(path.lastReceivedAt, Math.min(path.failedAt, ...path.dueAt.values()));
		return since < now ? since : undefined;
	}

	/**
	 * Records the result of a check.
	 *
	 * @param isReachedByOther - Whether another VM could connect to the endpoint; asked only where the direct connection has failed.
	 * @returns Whether the path has become interrupted, or is so no longer.
	 */
	recordCheck(end: PathEnd, isOpen: boolean, isReachedByOther: boolean, now: number): boolean {
		const path = this.#getOrCreate(end);
		const wasInterrupted = path.interruptedSince !== undefined;
		const isInterrupted = !isOpen && (wasInterrupted || isReachedByOther);
		path.interruptedSince = isInterrupted ? this.silentSince(end.id, now) ?? now : undefined;
		path.hasFailedCheck = !isOpen;
		path.failedAt = isOpen ? Infinity : Math.min(path.failedAt, now);

		if (isInterrupted && !wasInterrupted) {
			this.#lastInterruptedAt = now;
		}

		return isInterrupted !== wasInterrupted;
	}

	/** Lists the pools from which data arrived lately, for other VMs. */
	listReachedPools(now: number): ReachedPool[] {
		const lastByPool = new Map<string, number>();
		for (const {pool, lastReceivedAt} of this.#paths.values()) {
			lastByPool.set(pool, Math.max(lastReceivedAt, lastByPool.get(pool) ?? -Infinity));
		}

		return [...lastByPool]
			.map(([pool, at]) => ({pool, ageMs: Math.round(now - at)}))
			.filter(({ageMs}) => ageMs <= this.options.maxToldAgeMs);
	}

	/** Removes endpoints that are no longer listed. */
	retain(listed: ReadonlySet<string>): void {
		for (const id of this.#paths.keys()) {
			if (!listed.has(id)) {
				this.#paths.delete(id);
			}
		}
	}

	#isDue(path: PathRecord | undefined, now: number): boolean {
		const sinceCheckMs = now - (path?.checkedAt ?? -Infinity);
		if (path?.interruptedSince !== undefined) {
			return sinceCheckMs >= this.options.interruptedCheckMs;
		}

		// Whatever interrupts one path often interrupts others.
		const isLikely = now - this.#lastInterruptedAt < this.options.suspectedCheckMs && (path?.checkedAt ?? -Infinity) < this.#lastInterruptedAt
			&& (path?.lastReceivedAt ?? -Infinity) < this.#lastInterruptedAt;
		const {suspectedCheckMs, unconfirmedCheckMs} = this.options;
		return isLikely || (path !== undefined && sinceCheckMs >= (path.hasFailedCheck ? unconfirmedCheckMs : suspectedCheckMs) && this.#isSuspected(path, now));
	}

	#isSuspected({failedAt, lastReceivedAt, dueAt}: PathRecord, now: number): boolean {
		if (failedAt < Infinity) {
			return true;
		}

		const since = Math.max(lastReceivedAt, Math.min(...dueAt.values()));
		return now - since >= this.options.silenceMs && this.#blockedTimes.computeUnblockedMs(since, now) >= this.options.silenceMs;
	}

	#getOrCreate({id, pool}: PathEnd): PathRecord {
		const known = this.#paths.get(id);
		if (known !== undefined) {
			return known;
		}

		const path: PathRecord = {
			pool, lastReceivedAt: -Infinity, dueAt: new Map(), failedAt: Infinity, checkedAt: -Infinity, hasFailedCheck: false,
		};
		this.#paths.set(id, path);
		return path;
	}
}
