import type * as core from '@bluebellmast/core';
import type * as fault from '../fault/index.js';

/** Options of an engine stand-in. */
export type EngineOptions = fault.StandInOptions & {
	/** Name in records; default `engine`. */
	readonly name?: string;
	/** Keys of the weights that are loaded at the start, such as `model@1`; default none. */
	readonly weights?: readonly core.model.WeightsKey[];
	/** Maximum number of requests in the running batch; default 16. */
	readonly slots?: number;
	/** Prompt tokens that are prefilled per second; default 20,000. */
	readonly prefillTokensPerSecond?: number;
	/** Maximum number of prompt tokens that one step prefills; default 1,024. */
	readonly prefillChunkTokens?: number;
	/** Base duration of a step in milliseconds; each step generates one token per decoding request; default 8. */
	readonly stepMs?: number;
	/** Milliseconds that each running request adds to a step; default 0.5. */
	readonly stepPerRequestMs?: number;
	/** Capacity of the prefix cache in tokens; default 200,000. */
	readonly cacheLimitTokens?: number;
	/** Prompt characters that count as one token; default 4. */
	readonly charsPerToken?: number;
	/** Age of load reports in milliseconds; default 300. */
	readonly loadLagMs?: number;
	/** Delay of cache events in milliseconds; default 200. */
	readonly cacheEventDelayMs?: number;
	/** Probability that a cache event is dropped, from 0 to 1; default 0.01. */
	readonly cacheEventLoss?: number;
	/** Milliseconds for which a stream can be resumed once it has no reader; default 10,000. */
	readonly resumeWindowMs?: number;
	/** Milliseconds between heartbeat comments on event streams; default 1,000. */
	readonly heartbeatMs?: number;
	/** Whether orders with an outdated fencing token are refused; default true. */
	readonly checksFencing?: boolean;
	/** Base URL of the weight store; without it a load takes `loadMs`. */
	readonly weightStore?: string;
	/** Duration of a load without a weight store, in milliseconds; default 1,000. */
	readonly loadMs?: number;
	/** Milliseconds to move one piece to or from the KV cache store; default 5. */
	readonly transferPieceMs?: number;
	/** File to which one JSON line per started request is appended; default none. */
	readonly recordFile?: string;
};

/** Options after defaults are applied. */
export type EngineSettings = Required<Omit<EngineOptions, 'onCrash' | 'keepsPort' | 'weightStore' | 'recordFile'>>;

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

/** Applies the defaults; options that are `undefined` count as absent. */
export function fillDefaults(options: EngineOptions): EngineSettings {
	const given = Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined));
	return {
		...defaults, host: '127.0.0.1', port: 0, faultPort: 0, seed: 1, ...given,
	};
}
