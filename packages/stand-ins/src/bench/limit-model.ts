/** A kind of request to engines, with mean sizes. */
export type LimitKind = {
	readonly name: string;
	readonly perSecond: number;
	/** Value of a request that is answered in time. */
	readonly credit: number;
	/** Prompt tokens that no other request shares. */
	readonly ownTokens: number;
	/** Prompt tokens that requests about the same thing share. */
	readonly sharedTokens: number;
	/** Things that requests are about. */
	readonly distinctPrefixes: number;
};

/** A day of one deployment, as far as its engines' time is concerned. */
export type LimitDay = {
	readonly name: string;
	readonly seconds: number;
	readonly engines: number;
	readonly prefillTokensPerMs: number;
	/** Time of a step that runs between two chunks of prompts, in milliseconds. */
	readonly stepMs: number;
	/** Tokens of a chunk. */
	readonly chunkTokens: number;
	/** Versions of weights that are named during the day; each empties all caches. */
	readonly versions: number;
	/** Time that an engine takes to load a version, in milliseconds. */
	readonly loadMs: number;
	/** Engine-seconds that are lost otherwise. */
	readonly lostEngineSeconds: number;
	/** Share of the requests in each cache namespace: one for all accounts that share, one for each isolated account. */
	readonly namespaceShares: readonly number[];
	readonly kinds: readonly LimitKind[];
};

/** What could be served of a kind. */
export type KindLimit = {
	readonly name: string;
	/** Prompt tokens that its requests need at the least. */
	readonly neededTokens: number;
	/** Share of its requests that engines have the time for. */
	readonly servedShare: number;
};

/** The highest share of credit that any router could reach. */
export type DayLimit = {
	readonly name: string;
	/** Prompt tokens that the engines can compute during the day. */
	readonly capacityTokens: number;
	/** Needed tokens as a share of the capacity. */
	readonly utilization: number;
	readonly creditShare: number;
	readonly kinds: readonly KindLimit[];
};

const msPerSecond = 1000;

/**
 * Works out a bound of what any router could serve: one with perfect knowledge, that never waits, reads each shared part once
 * for each version and namespace, and serves first what earns most for the time of engines. It knows no latency, no bursts and
 * no memory limits, so that a real router stays below it.
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

/** Own tokens of all requests, and one reading of each shared part that is asked for, for each version and namespace. */
function computeNeededTokens(day: LimitDay, kind: LimitKind): number {
	const requests = kind.perSecond * day.seconds;
	const periods = day.versions + 1;
	const reads = day.namespaceShares.reduce((sum, share) =>
		sum + (periods * expectedDistinctPrefixes(kind.distinctPrefixes, requests * share / periods)), 0);
	return (requests * kind.ownTokens) + (reads * kind.sharedTokens);
}

/** Expected number of things that some requests are about, when each is as likely. */
function expectedDistinctPrefixes(prefixes: number, requests: number): number {
	return prefixes * (1 - ((1 - (1 / prefixes)) ** requests));
}
