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

/** How an attempt to connect ended. */
export enum ConnectOutcome {
	Open = 'open',
	/** The connection was refused or reset. */
	Refused = 'refused',
	TimedOut = 'timed_out',
}

/** Options of {@link EndpointPaths}, in milliseconds. */
export type PathOptions = {
	/** Time without data from an endpoint that owes a response, after which its path is suspected. */
	readonly silenceMs: number;
	/** Time between two checks of a suspected path. */
	readonly suspectedCheckMs: number;
	/** Time after an attempt to reach the endpoint through another VM until the next one, while it is not known to be reached by any. */
	readonly confirmationMs: number;
	/** Time between two checks of a path that is interrupted. */
	readonly interruptedCheckMs: number;
	/** Age of the last data from a pool above which digests no longer list it. */
	readonly maxToldAgeMs: number;
};

/** A caller of a plain service waits for 0.6 s, so that its first try at another endpoint still counts; callers return to a direct path within a second. */
export const defaultPathOptions: PathOptions = {
	silenceMs: 200, suspectedCheckMs: 1000, confirmationMs: 300, interruptedCheckMs: 500, maxToldAgeMs: 1500,
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
	/** How often other VMs may still be asked whether they reach the endpoint, to which the last check failed. */
	confirmationsLeft: number;
	confirmationTriedAt: number;
	/** How the last check ended; absent before. */
	lastOutcome?: ConnectOutcome;
};

/** Other VMs that are asked after a failed check: the first one may not reach the endpoint either. More would burden an endpoint that is down for all. */
const maxConfirmations = 2;
/** Paths that are checked at once when a cause may concern all. */
const maxChecksPerRound = 64;

/**
 * The direct network paths from this VM to the endpoints. A path is suspected while its endpoint owes a response or a connection has
 * failed; a check, which opens a connection, distinguishes a slow endpoint from an interrupted path. A connection through another VM
 * shows whether the endpoint itself is down. All times are in milliseconds of the monotonic clock.
 */
export class EndpointPaths {
	readonly #paths = new Map<string, PathRecord>();
	readonly #blockedTimes = new blockedTimes.BlockedTimes();
	/** When a cause was last seen that may concern all paths: one was interrupted, or checks of two failed. */
	#commonCauseAt = -Infinity;
	/** The path of which a check failed last, and when. */
	#lastFailure: {readonly id: string; readonly at: number} | undefined;

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
		path.confirmationsLeft = 0;
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

	/** Records the result of a check. @returns Whether the path was interrupted and is so no longer. */
	recordCheck(end: PathEnd, outcome: ConnectOutcome, now: number): boolean {
		const path = this.#getOrCreate(end);
		const isOpen = outcome === ConnectOutcome.Open;
		path.lastOutcome = outcome;
		const wasInterrupted = path.interruptedSince !== undefined;
		path.confirmationsLeft = isOpen || wasInterrupted ? 0 : maxConfirmations;
		if (isOpen) {
			path.failedAt = Infinity;
			path.interruptedSince = undefined;
		} else {
			path.failedAt = Math.min(path.failedAt, now);
			this.#recordFailedCheck(end.id, now);
		}

		return wasInterrupted && isOpen;
	}

	/** Returns how the last check of a path ended; `undefined` if there was none. */
	getLastOutcome(endpoint: string): ConnectOutcome | undefined {
		return this.#paths.get(endpoint)?.lastOutcome;
	}

	/** Returns the listed endpoints to which the direct connection has failed, so that another VM is to be asked for one. */
	listUnconfirmed(listed: readonly PathEnd[], now: number): string[] {
		return listed.map(({id}) => id).filter(id => {
			const path = this.#paths.get(id);
			return path !== undefined && path.confirmationsLeft > 0 && now - path.confirmationTriedAt >= this.options.confirmationMs;
		});
	}

	/** Records that another VM is asked for a connection to an endpoint. */
	startConfirmation(endpoint: string, now: number): void {
		const path = this.#paths.get(endpoint);
		if (path !== undefined) {
			path.confirmationTriedAt = now;
			path.confirmationsLeft -= 1;
		}
	}

	/** Records that an endpoint was reached through another VM, though not directly: the path is interrupted. @returns Whether the path has changed. */
	recordConfirmation(endpoint: string, now: number): boolean {
		const path = this.#paths.get(endpoint);
		if (path === undefined || path.interruptedSince !== undefined || path.lastOutcome === undefined || path.lastOutcome === ConnectOutcome.Open) {
			return false;
		}

		path.interruptedSince = this.silentSince(endpoint, now) ?? now;
		path.confirmationsLeft = 0;
		this.#commonCauseAt = now;
		return true;
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

	#recordFailedCheck(id: string, now: number): void {
		const last = this.#lastFailure;
		if (last !== undefined && last.id !== id && now - last.at < this.options.suspectedCheckMs && now - this.#commonCauseAt >= this.options.suspectedCheckMs) {
			this.#commonCauseAt = now;
		}

		this.#lastFailure = {id, at: now};
	}

	#isDue(path: PathRecord | undefined, now: number): boolean {
		const sinceCheckMs = now - (path?.checkedAt ?? -Infinity);
		if (path?.interruptedSince !== undefined) {
			return sinceCheckMs >= this.options.interruptedCheckMs;
		}

		// Whatever interrupts one path often interrupts others.
		const isLikely = now - this.#commonCauseAt < this.options.suspectedCheckMs && (path?.checkedAt ?? -Infinity) < this.#commonCauseAt
			&& (path?.lastReceivedAt ?? -Infinity) < this.#commonCauseAt;
		return isLikely || (path !== undefined && sinceCheckMs >= this.options.suspectedCheckMs && this.#isSuspected(path, now));
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
			pool, lastReceivedAt: -Infinity, dueAt: new Map(), failedAt: Infinity, checkedAt: -Infinity, confirmationsLeft: 0, confirmationTriedAt: -Infinity,
		};
		this.#paths.set(id, path);
		return path;
	}
}
