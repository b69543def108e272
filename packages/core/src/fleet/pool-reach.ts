import * as blockedTimes from '../util/blocked-times.js';
import type * as endpointEntry from './endpoint-entry.js';

/** An endpoint as far as the reach of its pool depends on it. */
export type PoolEndpoint = Pick<endpointEntry.EndpointEntry, 'id' | 'pool'>;

/** What this VM last had from a pool, for the digests that it sends. */
export type ReachedPool = {
	readonly pool: string;
	/** Milliseconds since an endpoint of the pool last sent data to this VM. */
	readonly ageMs: number;
};

/** Options of {@link PoolReach}, in milliseconds unless the name says otherwise. */
export type PoolReachOptions = {
	/** Time without data from any endpoint of a pool, while responses are due, after which the pool counts as unreached. */
	readonly silenceMs: number;
	/** Number of endpoints of which data must be missing, or all of a smaller pool. */
	readonly minEndpoints: number;
	/** Time between two checks of endpoints of an unreached pool. */
	readonly checkIntervalMs: number;
	/** Time after which what arrived from a pool is no longer told to other VMs. */
	readonly maxToldAgeMs: number;
};

/** A quarter of the time that a request to a plain service may take; sound endpoints send data every few tens of milliseconds. */
export const defaultPoolReachOptions: PoolReachOptions = {
	silenceMs: 300, minEndpoints: 2, checkIntervalMs: 300, maxToldAgeMs: 1500,
};

type PoolRecord = {
	lastReceivedAt: number;
	/** When responses are due, by attempt; each with its endpoint. */
	readonly due: Map<string, {readonly endpoint: string; readonly at: number}>;
	/** When attempts failed at endpoints since data last arrived from any. */
	readonly failures: Map<string, number>;
	isReached: boolean;
	checkedAt: number;
	/** Number of checks since the pool counts as unreached. */
	checkCount: number;
};

/** A change of the judgement on a pool. */
export type ReachChange = {
	readonly pool: string;
	readonly isReached: boolean;
	/** Number of endpoints from which data was missing, and time for which nothing had arrived; for a pool that is reached again, those of its judgement. */
	readonly endpoints: number;
	readonly silentMs: number;
};

/**
 * Judges which pools this VM reaches, by its own attempts: a pool is unreached while several of its endpoints owe responses or fail, and none sends
 * anything. Whether the endpoints or this VM's links are at fault, other VMs can tell that have data from the pool. All times are in milliseconds of
 * the monotonic clock.
 */
export class PoolReach {
	readonly #pools = new Map<string, PoolRecord>();
	readonly #blockedTimes = new blockedTimes.BlockedTimes();
	readonly #evidence = new Map<string, ReachChange>();
	#changes: ReachChange[] = [];

	constructor(private readonly options: PoolReachOptions = defaultPoolReachOptions) {}

	/** Records that this VM read nothing for a time, which does not count as silence. */
	recordBlocked(blockedMs: number, now: number): void {
		this.#blockedTimes.record(blockedMs, now);
	}

	/** Records a request to an endpoint, of which a part of the response is due at a time. */
	recordSent({id, pool}: PoolEndpoint, attempt: string, dueAt: number): void {
		this.#getOrCreate(pool).due.set(attempt, {endpoint: id, at: dueAt});
	}

	/** Records that data arrived from an endpoint. */
	recordReceived({pool}: PoolEndpoint, attempt: string | undefined, now: number): void {
		const record = this.#getOrCreate(pool);
		record.lastReceivedAt = now;
		record.failures.clear();
		if (attempt !== undefined) {
			record.due.delete(attempt);
		}

		this.#setReached(pool, record, true);
	}

	/** Records that a connection to an endpoint failed or broke off. */
	recordFailure({id, pool}: PoolEndpoint, now: number): void {
		const {failures} = this.#getOrCreate(pool);
		failures.set(id, failures.get(id) ?? now);
	}

	/** Records the end of an attempt, regardless of its outcome. An attempt that ends while its response is overdue remains as evidence. */
	recordEnd({id, pool}: PoolEndpoint, attempt: string, now: number): void {
		const record = this.#pools.get(pool);
		const due = record?.due.get(attempt);
		if (record === undefined || due === undefined) {
			return;
		}

		record.due.delete(attempt);
		if (due.at < now) {
			record.failures.set(id, Math.min(due.at, record.failures.get(id) ?? Infinity));
		}
	}

	/**
	 * Returns whether a pool is reached, so far as this VM can tell.
	 *
	 * @param listed - The endpoints of the pool that the store lists; the silence of others says nothing.
	 */
	isReached(pool: string, listed: readonly string[], now: number): boolean {
		const record = this.#pools.get(pool);
		if (record === undefined) {
			return true;
		}

		if (!record.isReached) {
			return false;
		}

		const silentSince = listSilent(record, listed, now);
		const since = Math.max(record.lastReceivedAt, Math.min(...silentSince.values()));
		const isSilent = silentSince.size >= Math.max(1, Math.min(this.options.minEndpoints, listed.length))
			&& this.#blockedTimes.computeUnblockedMs(since, now) >= this.options.silenceMs;
		if (isSilent) {
			this.#evidence.set(pool, {
				pool, isReached: false, endpoints: silentSince.size, silentMs: Math.round(now - since),
			});
			this.#setReached(pool, record, false);
		}

		return record.isReached;
	}

	/** When data last arrived from a pool; `-Infinity` if none has. */
	lastReceivedAt(pool: string): number {
		return this.#pools.get(pool)?.lastReceivedAt ?? -Infinity;
	}

	/** Returns the endpoint by whose check an unreached pool is to be tried next, if one is due, and counts it as checked; the endpoints take turns. */
	takeDueCheck(pool: string, endpoints: readonly string[], now: number): string | undefined {
		const record = this.#pools.get(pool);
		if (record === undefined || record.isReached || endpoints.length === 0 || now - record.checkedAt < this.options.checkIntervalMs) {
			return undefined;
		}

		record.checkedAt = now;
		record.checkCount += 1;
		return endpoints[record.checkCount % endpoints.length];
	}

	/** Lists the pools from which data arrived lately, for other VMs. */
	listReached(now: number): ReachedPool[] {
		return [...this.#pools]
			.map(([pool, {lastReceivedAt}]) => ({pool, ageMs: Math.round(now - lastReceivedAt)}))
			.filter(({ageMs}) => ageMs <= this.options.maxToldAgeMs);
	}

	/** Lists the pools to which requests were sent. */
	listPools(): string[] {
		return [...this.#pools.keys()];
	}

	/** Returns the changes of the judgement since the last call, for the log. */
	takeChanges(): ReachChange[] {
		const changes = this.#changes;
		this.#changes = [];
		return changes;
	}

	/** Removes pools that have no listed endpoint. */
	retain(pools: ReadonlySet<string>): void {
		for (const pool of this.#pools.keys()) {
			if (!pools.has(pool)) {
				this.#pools.delete(pool);
				this.#evidence.delete(pool);
			}
		}
	}

	#setReached(pool: string, record: PoolRecord, isReached: boolean): void {
		if (record.isReached === isReached) {
			return;
		}

		record.isReached = isReached;
		record.checkedAt = -Infinity;
		const evidence = this.#evidence.get(pool);
		this.#changes.push({
			pool, isReached, endpoints: evidence?.endpoints ?? 0, silentMs: evidence?.silentMs ?? 0,
		});
	}

	#getOrCreate(pool: string): PoolRecord {
		const known = this.#pools.get(pool);
		if (known !== undefined) {
			return known;
		}

		const record: PoolRecord = {
			lastReceivedAt: -Infinity, due: new Map(), failures: new Map(), isReached: true, checkedAt: -Infinity, checkCount: 0,
		};
		this.#pools.set(pool, record);
		return record;
	}
}

/** Returns the listed endpoints that owe responses or have failed, each with the time since when. */
function listSilent({due, failures}: PoolRecord, listed: readonly string[], now: number): Map<string, number> {
	const silentSince = new Map(failures);
	for (const {endpoint, at} of due.values()) {
		if (at < now) {
			silentSince.set(endpoint, Math.min(at, silentSince.get(endpoint) ?? Infinity));
		}
	}

	return new Map(listed.filter(id => silentSince.has(id)).map(id => [id, silentSince.get(id)!]));
}
