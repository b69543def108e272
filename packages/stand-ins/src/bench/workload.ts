import * as core from '@bluebellmast/core';
import * as util from '../util/index.js';
import * as deploymentProfile from './deployment-profile.js';

/** One request of a workload. */
export type WorkloadRequest = {
	readonly index: number;
	/** Scheduled arrival, in milliseconds from the start of the run. */
	readonly atMs: number;
	readonly placementRequest: core.placement.PlacementRequest;
};

/** Options of a workload. */
export type WorkloadOptions = {
	readonly seed: number;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	/** Time from which other prefixes are the most popular ones, in milliseconds; absent: never. */
	readonly hotSpotMovesAtMs?: number;
};

const millisecondsPerSecond = 1000;

/** Generates requests with Zipf-distributed prefixes and one large account. The same seed gives the same requests. */
export class Workload {
	readonly #random: util.Random;
	readonly #firstLevelShares: readonly number[];
	readonly #secondLevelShares: readonly number[];
	#nextIndex = 0;

	constructor(private readonly deployment: deploymentProfile.DeploymentProfile, private readonly options: WorkloadOptions) {
		this.#random = new util.Random(options.seed);
		this.#firstLevelShares = createCumulativeShares(deployment.firstLevelPrefixes, deployment.firstLevelSkew);
		this.#secondLevelShares = createCumulativeShares(deployment.secondLevelPrefixes, deployment.secondLevelSkew);
	}

	/** Returns all requests of the run in order of arrival; arrivals are a Poisson process. */
	listRequests(): WorkloadRequest[] {
		const requests: WorkloadRequest[] = [];
		const meanMs = millisecondsPerSecond / this.options.requestsPerSecond;
		let atMs = 0;
		while (atMs < this.options.durationMs) {
			atMs += this.#random.exponential(meanMs);
			requests.push(this.createRequest(atMs));
		}

		return requests;
	}

	/** Returns one request for each prefix, in random order. */
	listRequestsForAllPrefixes(): WorkloadRequest[] {
		const {firstLevelPrefixes, secondLevelPrefixes} = this.deployment;
		return Array.from({length: firstLevelPrefixes * secondLevelPrefixes}, (_, index) => index)
			.map(index => ({index, order: this.#random.fraction()}))
			.sort((left, right) => left.order - right.order)
			.map(({index}) => this.#create(0, Math.floor(index / secondLevelPrefixes), index % secondLevelPrefixes));
	}

	/** Draws one request. */
	createRequest(atMs: number): WorkloadRequest {
		const {deployment} = this;
		const hasHotSpotMoved = this.options.hotSpotMovesAtMs !== undefined && atMs >= this.options.hotSpotMovesAtMs;
		const rank = drawRank(this.#firstLevelShares, this.#random);
		const first = hasHotSpotMoved ? (rank + Math.floor(deployment.firstLevelPrefixes / 2)) % deployment.firstLevelPrefixes : rank;
		return this.#create(atMs, first, drawRank(this.#secondLevelShares, this.#random));
	}

	#create(atMs: number, first: number, second: number): WorkloadRequest {
		const {deployment} = this;
		// The first account, the largest, owns every second prefix; the others share the rest.
		const account = `account-${first % 2 === 0 ? 0 : 1 + (first % (deployment.accounts - 1))}`;
		const index = this.#nextIndex;
		this.#nextIndex += 1;
		return {index, atMs, placementRequest: createPlacementRequest(deployment, account, {first, second, index})};
	}
}

function createPlacementRequest(
	deployment: deploymentProfile.DeploymentProfile,
	account: string,
	position: {readonly first: number; readonly second: number; readonly index: number},
): core.placement.PlacementRequest {
	const pieceNames = [
		...Array.from({length: deployment.firstLevelPieces}, (_, piece) => `first ${position.first} ${piece}`),
		...Array.from({length: deployment.secondLevelPieces}, (_, piece) => `second ${position.second} ${piece}`),
	];
	let chain = core.util.hash64(account);
	const homeKeys = pieceNames.map(name => {
		chain = core.util.hash64(name, chain);
		return chain.toString(16).padStart(16, '0');
	});
	const promptTokens = (pieceNames.length * deploymentProfile.pieceTokens) + deploymentProfile.questionTokens;
	const prompt = {
		account, homeKeys, pieceTokens: deploymentProfile.pieceTokens, promptTokens,
	};
	return {
		requestId: `request-${position.index}`,
		account,
		service: deployment.service,
		weights: deploymentProfile.weightsKey,
		pieces: core.cache.bindPrefix(prompt, deploymentProfile.weights),
		homeKeys,
		promptTokens,
		maxTokens: deployment.maxTokens,
		excluded: new Set(),
	};
}

function createCumulativeShares(count: number, skew: number): number[] {
	const shares = Array.from({length: count}, (_, rank) => (rank + 1) ** -skew);
	const total = shares.reduce((sum, share) => sum + share, 0);
	let sum = 0;
	return shares.map(share => {
		sum += share / total;
		return sum;
	});
}

function drawRank(cumulativeShares: readonly number[], random: util.Random): number {
	const value = random.fraction();
	const index = cumulativeShares.findIndex(limit => value < limit);
	return index === -1 ? cumulativeShares.length - 1 : index;
}
