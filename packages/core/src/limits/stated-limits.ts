import type * as endpointEntry from '../fleet/endpoint-entry.js';

/** The limit of an endpoint, or its end, in a digest. */
export type LimitDigest = {
	readonly endpoint: string;
	/** Start time of the incarnation, in Unix milliseconds; 0 when unknown. */
	readonly bornAt: number;
	/** 0 if the endpoint no longer states a limit. */
	readonly requestsPerSecond: number;
	/** Time since a response stated it, in milliseconds. */
	readonly ageMs: number;
};

/** A change of the limit of an endpoint. */
export type LimitChange = {
	readonly endpoint: string;
	readonly bornAt: number;
	/** Absent if the endpoint no longer states a limit. */
	readonly requestsPerSecond: number | undefined;
	/** Time for which the endpoint has stated some limit, in milliseconds. */
	readonly limitedMs: number;
	/** Whether the limit ends because the endpoint has restarted. */
	readonly isReplaced: boolean;
};

/** Bounds on what is kept. */
export type StatedLimitsOptions = {
	/** Time for which digests contain a limit, or its end, after a response stated it, in milliseconds. */
	readonly digestLifetimeMs: number;
	/** Time after a response with a limit within which responses without one don't end it, in milliseconds, since responses overtake each other. */
	readonly minLimitedMs: number;
	/** Maximum number of endpoints that are kept. */
	readonly maxEndpoints: number;
};

/** In the largest fleet the digests of one VM reach all others within 15 s. */
export const defaultStatedLimitsOptions: StatedLimitsOptions = {digestLifetimeMs: 30_000, minLimitedMs: 500, maxEndpoints: 10_000};

type Statement = {
	readonly bornAt: number;
	requestsPerSecond: number | undefined;
	/** When a response last stated this. */
	statedAt: number;
	/** When the first of the limits that followed each other was stated. */
	limitedSince: number;
};

/** The request rates that endpoints state as their limits. Times are in milliseconds of a clock that includes suspensions of the VM. */
export class StatedLimits {
	/** By endpoint, the one that was first recorded first. */
	readonly #statements = new Map<string, Statement>();

	constructor(private readonly options: StatedLimitsOptions = defaultStatedLimitsOptions) {}

	/** Number of endpoints that are kept, including those whose limit has ended a short time ago. */
	get size(): number {
		return this.#statements.size;
	}

	/**
	 * Records what a response of an endpoint states.
	 *
	 * @param requestsPerSecond - `undefined` if it states no limit.
	 * @returns The change, if there is one.
	 */
	record(endpoint: endpointEntry.EndpointIncarnation, requestsPerSecond: number | undefined, now: number): LimitChange | undefined {
		return this.#apply(endpoint, requestsPerSecond, now);
	}

	/** Applies the rows of a digest: the latest statement of an endpoint holds. @returns The changes. */
	applyDigest(rows: readonly LimitDigest[], now: number): LimitChange[] {
		const changes = rows
			.filter(({ageMs}) => ageMs < this.options.digestLifetimeMs)
			.map(({endpoint, bornAt, requestsPerSecond, ageMs}) =>
				this.#apply({id: endpoint, bornAt}, requestsPerSecond > 0 ? requestsPerSecond : undefined, now - ageMs));
		return changes.filter(change => change !== undefined);
	}

	/** Returns the limit of an endpoint in requests a second; `undefined` if it states none. */
	getRate({id, bornAt}: endpointEntry.EndpointIncarnation): number | undefined {
		const statement = this.#statements.get(id);
		return statement?.bornAt === bornAt ? statement.requestsPerSecond : undefined;
	}

	/** Returns the time since the limit of an endpoint was last stated, in milliseconds; `Infinity` if it states none. */
	ageOf({id, bornAt}: endpointEntry.EndpointIncarnation, now: number): number {
		const statement = this.#statements.get(id);
		return statement?.bornAt === bornAt && statement.requestsPerSecond !== undefined ? now - statement.statedAt : Infinity;
	}

	/** Lists what the other VMs may not know yet, limits and their ends. */
	list(now: number): LimitDigest[] {
		return [...this.#statements]
			.filter(([, {statedAt}]) => now - statedAt < this.options.digestLifetimeMs)
			.map(([endpoint, {bornAt, requestsPerSecond, statedAt}]) => ({
				endpoint, bornAt, requestsPerSecond: requestsPerSecond ?? 0, ageMs: Math.max(0, Math.round(now - statedAt)),
			}));
	}

	/**
	 * Removes limits of incarnations that were replaced or have not been listed for long, and ends of limits that all VMs know.
	 *
	 * @param bornAtOf - Returns the incarnation that is listed, or `undefined` if the endpoint is not.
	 * @param mayLapse - Returns whether a limit that was not stated for the lifetime of digests is given up.
	 * @returns The limits that have ended.
	 */
	removeEnded(
		bornAtOf: (endpoint: string) => number | undefined,
		mayLapse: (endpoint: endpointEntry.EndpointIncarnation) => boolean,
		now: number,
	): LimitChange[] {
		const ended: LimitChange[] = [];
		for (const [id, statement] of this.#statements) {
			const {bornAt, requestsPerSecond, statedAt, limitedSince} = statement;
			const listed = bornAtOf(id);
			const isReplaced = (listed ?? bornAt) !== bornAt;
			const isUnused = requestsPerSecond === undefined || listed === undefined || mayLapse({id, bornAt});
			const isOld = now - statedAt >= this.options.digestLifetimeMs && isUnused;
			if (!isReplaced && !isOld) {
				continue;
			}

			this.#statements.delete(id);
			if (requestsPerSecond !== undefined) {
				ended.push({
					endpoint: id, bornAt, requestsPerSecond: undefined, limitedMs: now - limitedSince, isReplaced,
				});
			}
		}

		return ended;
	}

	#apply({id, bornAt}: endpointEntry.EndpointIncarnation, requestsPerSecond: number | undefined, statedAt: number): LimitChange | undefined {
		const known = this.#statements.get(id);
		const previous = known?.bornAt === bornAt ? known : undefined;
		if (known !== undefined && (known.bornAt > bornAt || (previous !== undefined && statedAt < previous.statedAt))) {
			return undefined;
		}

		const isOvertaken = requestsPerSecond === undefined && previous?.requestsPerSecond !== undefined
			&& statedAt - previous.statedAt < this.options.minLimitedMs;
		if (isOvertaken) {
			return undefined;
		}

		if (previous?.requestsPerSecond === requestsPerSecond) {
			if (previous !== undefined) {
				previous.statedAt = statedAt;
			}

			return undefined;
		}

		const limitedSince = previous?.requestsPerSecond === undefined ? statedAt : previous.limitedSince;
		this.#statements.delete(id);
		this.#statements.set(id, {
			bornAt, requestsPerSecond, statedAt, limitedSince,
		});
		this.#enforceBound();
		return {
			endpoint: id, bornAt, requestsPerSecond, limitedMs: statedAt - limitedSince, isReplaced: false,
		};
	}

	#enforceBound(): void {
		if (this.#statements.size > this.options.maxEndpoints) {
			const [oldest] = this.#statements.keys();
			this.#statements.delete(oldest!);
		}
	}
}
