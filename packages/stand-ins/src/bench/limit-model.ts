/** A kind of requests to engines, with mean prompt sizes. */
export type LimitKind = {
	readonly name: string;
	/** Requests per second. */
	readonly perSecond: number;
	/** Credit of a request that is answered in time. */
	readonly credit: number;
	/** Prompt tokens that no other request shares. */
	readonly ownTokens: number;
	/** Tokens of the prompt prefix that a request shares with others. */
	readonly sharedTokens: number;
	/** Number of distinct shared prefixes. */
	readonly distinctPrefixes: number;
};

/** Inputs of the model for one day of a deployment. */
export type LimitDay = {
	readonly name: string;
	readonly seconds: number;
	readonly engines: number;
	readonly prefillTokensPerMs: number;
	/** Time of the decode step between two prefill chunks, in milliseconds. */
	readonly stepMs: number;
	/** Tokens of a prefill chunk. */
	readonly chunkTokens: number;
	/** Number of changes of the weights' version during the day; each invalidates all caches. */
	readonly versions: number;
	/** Time in which an engine loads a version, in milliseconds. */
	readonly loadMs: number;
	/** Engine-seconds that are lost for other reasons. */
	readonly lostEngineSeconds: number;
	/** Share of the requests in each cache namespace: one namespace for all accounts that share, and one for each isolated account. */
	readonly namespaceShares: readonly number[];
	readonly kinds: readonly LimitKind[];
};

/** Upper bound for one kind of requests. */
export type KindLimit = {
	readonly name: string;
	/** Minimum number of prompt tokens that have to be computed for the requests. */
	readonly neededTokens: number;
	/** Share of the requests that the engines have capacity for. */
	readonly servedShare: number;
};

/** Upper bound of what any router could serve on one day. */
export type DayLimit = {
	readonly name: string;
	/** Prompt tokens that the engines can compute during the day. */
	readonly capacityTokens: number;
	/** Needed tokens as a share of the capacity. */
	readonly utilization: number;
	/** Maximum credit as a share of the credit of all requests. */
	readonly creditShare: number;
	readonly kinds: readonly KindLimit[];
};

const msPerSecond = 1000;

/**
 * Computes an upper bound of what any router could serve. The bound assumes perfect knowledge and no waiting, computes each
 * shared prefix once per version and namespace, and serves the requests with the most credit per prompt token first. The model
 * has no latency, bursts or memory limits, so a real router stays below the bound.
 */
export function computeLimit(day: LimitDay): DayLimit {
	const capacityTokens = computeCapacityTokens(day);
	const needs = day.kinds.map(kind => ({kind, tokens: computeNeededTokens(day, kind)}));
	let remainingTokens = capacityTokens;
	let credit = 0;
	let possibleCredit = 0;
	const kinds: KindLimit[] = [];
	const byValue = [...needs].sort((a, b) => (computeCredit(day, b.kind) / b.tokens) - (computeCredit(day, a.kind) / a.tokens));
	for (const {kind, tokens} of byValue) {
		const servedShare = Math.min(1, remainingTokens / tokens);
		remainingTokens -= tokens * servedShare;
		credit += computeCredit(day, kind) * servedShare;
		possibleCredit += computeCredit(day, kind);
		kinds.push({name: kind.name, neededTokens: tokens, servedShare});
	}

	const needed = needs.reduce((sum, {tokens}) => sum + tokens, 0);
	return {
		name: day.name, capacityTokens, utilization: needed / capacityTokens, creditShare: credit / possibleCredit, kinds,
	};
}

function computeCapacityTokens(day: LimitDay): number {
	const engineMs = (day.engines * day.seconds * msPerSecond)
		- (day.engines * day.versions * day.loadMs)
		- (day.lostEngineSeconds * msPerSecond);
	const chunkMs = day.chunkTokens / day.prefillTokensPerMs;
	return engineMs * day.chunkTokens / (chunkMs + day.stepMs);
}

function computeCredit(day: LimitDay, kind: LimitKind): number {
	return kind.perSecond * day.seconds * kind.credit;
}

/** Sums the own tokens of all requests and the tokens of each requested shared prefix once per version and namespace. */
function computeNeededTokens(day: LimitDay, kind: LimitKind): number {
	const requests = kind.perSecond * day.seconds;
	const periods = day.versions + 1;
	const computedPrefixes = day.namespaceShares.reduce((sum, share) =>
		sum + (periods * expectedDistinctPrefixes(kind.distinctPrefixes, requests * share / periods)), 0);
	return (requests * kind.ownTokens) + (computedPrefixes * kind.sharedTokens);
}

/** Expected number of distinct prefixes among `requests` requests, when all prefixes are equally likely. */
function expectedDistinctPrefixes(prefixes: number, requests: number): number {
	return prefixes * (1 - ((1 - (1 / prefixes)) ** requests));
}
