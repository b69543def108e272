import type * as core from '@bluebellmast/core';
import type * as fault from '../fault/index.js';

/** Options of an engine. */
export type EngineOptions = fault.StandInOptions & {
	/** Name in records; default `engine`. */
	readonly name?: string;
	/** Text forms of the weights that are loaded from the start; default none. */
	readonly weights?: readonly core.model.WeightsKey[];
	/** Requests that are worked on at once; default 16. */
	readonly slots?: number;
	/** Prompt tokens that are computed a second; default 20,000. */
	readonly prefillTokensPerSecond?: number;
	/** Prompt tokens that one step of the batch computes at most; default 1,024. */
	readonly prefillChunkTokens?: number;
	/** Milliseconds of a step that generates one token for each running request; default 8. */
	readonly stepMs?: number;
	/** Milliseconds that each running request adds to a step; default 0.5. */
	readonly stepPerRequestMs?: number;
	/** Tokens that the prefix cache holds; default 200,000. */
	readonly cacheLimitTokens?: number;
	/** Characters of prompt that count as one token; default 4. */
	readonly charsPerToken?: number;
	/** Milliseconds by which load reports lag; default 300. */
	readonly loadLagMs?: number;
	/** Milliseconds by which cache events are late; default 200. */
	readonly cacheEventDelayMs?: number;
	/** Share of cache events that are lost; default 0.01. */
	readonly cacheEventLoss?: number;
	/** Milliseconds that a stream can be resumed after its reader went away or its last event; default 10,000. */
	readonly resumeWindowMs?: number;
	/** Milliseconds between comment lines on streams; default 1,000. */
	readonly heartbeatMs?: number;
	/** Whether orders with an old fencing number are refused; default true. */
	readonly checksFencing?: boolean;
	/** Base URL of the weight store; absent: loads take `loadMs`. */
	readonly weightStore?: string;
	/** Milliseconds that a load takes without a weight store; default 1,000. */
	readonly loadMs?: number;
	/** Milliseconds that moving a piece to or from the store of kept KV cache takes; default 5. */
	readonly transferPieceMs?: number;
	/** File that gets one JSON line per request that was begun; default none. */
	readonly recordFile?: string;
};

/** Options with their defaults filled in. */
export type EngineSettings = Required<Omit<EngineOptions, 'onCrash' | 'weightStore' | 'recordFile'>>;

const defaults: Omit<EngineSettings, 'host' | 'port' | 'faultPort' | 'seed'> = {
	name: 'engine',
	weights: [],
	slots: 16,
	prefillTokensPerSecond: 20_000,
	prefillChunkTokens: 1024,
	stepMs: 8,
	stepPerRequestMs: 0.5,
	cacheLimitTokens: 200_000,
	charsPerToken: 4,
	loadLagMs: 300,
	cacheEventDelayMs: 200,
	cacheEventLoss: 0.01,
	resumeWindowMs: 10_000,
	heartbeatMs: 1000,
	checksFencing: true,
	loadMs: 1000,
	transferPieceMs: 5,
};

/** Fills in the defaults; options that are `undefined` count as absent. */
export function fillDefaults(options: EngineOptions): EngineSettings {
	const given = Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined));
	return {
		...defaults, host: '127.0.0.1', port: 0, faultPort: 0, seed: 1, ...given,
	};
}
