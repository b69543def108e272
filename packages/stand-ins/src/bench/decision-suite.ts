import * as fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import * as core from '@bluebellmast/core';
import * as util from '../util/index.js';

/** Cost of placement decisions of one policy with one number of engines. */
export type DecisionResult = {
	readonly policy: string;
	readonly engines: number;
	readonly decisions: number;
	readonly microsecondsPerDecision: number;
};

/** Options of the decision suite. */
export type DecisionSuiteOptions = {
	readonly seed: number;
	readonly outFolder: string;
};

const pools = [13, 1900];
const prefixes = 400;
const piecesPerPrefix = 15;
const holdersPerPrefix = 3;
const warmUpDecisions = 500;
const measuredDecisions = 3000;
const memoryPieces = 200_000;
const weights = {model: 'model', modelVersion: '1'};

/** Measures the time of placement decisions and the memory of cache index entries and prefix counters. */
export function runDecisionSuite(options: DecisionSuiteOptions): void {
	const decisions = pools.flatMap(engines =>
		Object.values(core.placement.PlacementPolicyName).map(policy => measurePolicy(policy, engines, options.seed)));
	const result = {
		decisions,
		rendezvous: pools.map(engines => measureRanking(engines)),
		splitMicroseconds: measureSplit(),
		bytesPerPiece: measureCacheIndex(),
		bytesPerCounter: measureHotPrefixes(),
	};
	console.log(JSON.stringify(result, undefined, '\t'));
	fs.mkdirSync(options.outFolder, {recursive: true});
	fs.writeFileSync(path.join(options.outFolder, `decision-${options.seed}.json`), `${JSON.stringify(result, undefined, '\t')}\n`);
}

function measurePolicy(policy: core.placement.PlacementPolicyName, engines: number, seed: number): DecisionResult {
	const random = new util.Random(seed);
	const state = new core.placement.PlacementState({policy: core.placement.createPlacementPolicy(policy, {seed})});
	state.loads.setEndpoints(Array.from({length: engines}, (_, index) => createEndpoint(index)));
	for (let index = 0; index < engines; index++) {
		state.applyLoadReport(`engine-${index}`, {
			incarnation: 'i',
			running: random.integer(0, 8),
			queued: 0,
			queuedTokens: random.integer(0, 8000),
			weights: [core.model.formatWeights(weights)],
			leaving: false,
		}, 1);
	}

	const requests = Array.from({length: prefixes}, (_, index) => createRequest(index));
	for (const request of requests) {
		state.recordArrival(request, 1);
		for (let holder = 0; holder < holdersPerPrefix; holder++) {
			state.recordResponse({
				request, endpoint: `engine-${random.integer(0, engines - 1)}`, incarnation: 'i', cachedTokens: 0,
			});
		}
	}

	const decide = (count: number) => {
		for (let index = 0; index < count; index++) {
			const request = requests[random.integer(0, prefixes - 1)]!;
			state.recordArrival(request, 2);
			const placement = state.place(request, 2)!;
			state.recordDispatch({attemptId: `a${index}`, request, placement}, 2);
			state.loads.recordEnd(`a${index}`, 0, 2);
		}
	};

	decide(warmUpDecisions);
	return {
		policy, engines, decisions: measuredDecisions, microsecondsPerDecision: measureMicroseconds(measuredDecisions, decide),
	};
}

function measureRanking(engines: number): {readonly engines: number; readonly rankByRendezvous: number; readonly homeRanker: number} {
	const endpoints = Array.from({length: engines}, (_, index) => ({endpoint: `engine-${index}`}));
	const names = endpoints.map(entry => entry.endpoint);
	const ranker = new core.placement.HomeRanker();
	return {
		engines,
		rankByRendezvous: measureMicroseconds(500, count => {
			for (let index = 0; index < count; index++) {
				core.util.rankByRendezvous(`key ${index}`, names);
			}
		}),
		homeRanker: measureMicroseconds(500, count => {
			for (let index = 0; index < count; index++) {
				ranker.rank(`key ${index}`, endpoints, 9);
			}
		}),
	};
}

/** Returns microseconds to split and bind a prompt of 30,000 tokens. */
function measureSplit(): number {
	const messages = [{role: 'user', content: 'site handbook '.repeat(8571)}];
	return measureMicroseconds(500, count => {
		for (let index = 0; index < count; index++) {
			core.cache.bindPrefix(core.cache.splitPrompt({account: 'a', model: 'model'}, messages), weights);
		}
	});
}

function measureCacheIndex(): number {
	return measureBytes(memoryPieces, () => {
		const cacheIndex = new core.cache.CacheIndex({maxBytes: 1e9});
		cacheIndex.observeIncarnation('e', 'i');
		for (let index = 0; index < memoryPieces; index++) {
			cacheIndex.applyEvent('e', {
				incarnation: 'i', sequence: index, change: core.cache.CacheChange.Stored, key: core.util.hash64Hex(String(index)),
			});
		}

		return cacheIndex;
	});
}

function measureHotPrefixes(): number {
	return measureBytes(memoryPieces, () => {
		const hotPrefixes = new core.cache.HotPrefixes({capacity: memoryPieces});
		for (let index = 0; index < memoryPieces; index++) {
			hotPrefixes.record([core.util.hash64Hex(String(index))], 1);
		}

		return hotPrefixes;
	});
}

/** Returns the mean time of one of `count` operations, in microseconds. */
function measureMicroseconds(count: number, action: (count: number) => void): number {
	const startedAt = process.hrtime.bigint();
	action(count);
	return Number(process.hrtime.bigint() - startedAt) / 1000 / count;
}

/** Returns the heap bytes per item of a value with `count` items; needs `--expose-gc` to be exact. */
function measureBytes(count: number, create: () => unknown): number {
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const kept = [create()];
	globalThis.gc?.();
	const bytes = process.memoryUsage().heapUsed - before;
	return kept.length * bytes / count;
}

function createEndpoint(index: number): core.model.Endpoint {
	return {
		id: `engine-${index}`,
		service: 'service',
		host: '127.0.0.1',
		port: 1,
		dataCentre: 'dc-1',
		checksFencing: true,
		role: core.model.EngineRole.Mixed,
		capacity: 8,
		leaving: false,
	};
}

function createRequest(index: number): core.placement.PlacementRequest {
	const homeKeys = Array.from({length: piecesPerPrefix}, (_, piece) =>
		core.util.hash64Hex(piece < 12 ? `first ${index % 40} ${piece}` : `second ${index} ${piece}`));
	const prompt = {
		account: 'a', homeKeys, pieceTokens: 2000, promptTokens: 30_200,
	};
	return {
		requestId: `r${index}`,
		account: 'a',
		service: 'service',
		weights: core.model.formatWeights(weights),
		pieces: core.cache.bindPrefix(prompt, weights),
		homeKeys,
		promptTokens: prompt.promptTokens,
		maxTokens: 8,
		excluded: new Set(),
	};
}
