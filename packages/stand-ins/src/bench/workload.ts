import * as core from '@bluebellmast/core';
import * as util from '../util/index.js';
import * as deploymentShape from './deployment.js';

/** One request of a workload. */
export type WorkloadRequest = {
	readonly index: number;
	/** Milliseconds from the start of the run. */
	readonly atMs: number;
	readonly placement: core.placement.PlacementRequest;
};

/** Options of a workload. */
export type WorkloadOptions = {
	readonly seed: number;
	readonly requestsPerSecond: number;
	readonly durationMs: number;
	/** Time from which other prefixes are the popular ones; absent: never. */
	readonly hotSpotMovesAtMs?: number;
};

const millisecondsPerSecond = 1000;

/** Draws requests: prefixes by skewed popularity, accounts a few of which are large. The same seed gives the same requests. */
export class Workload {
	readonly #random: util.Random;
	readonly #first: readonly number[];
	readonly #second: readonly number[];
	#index = 0;

	constructor(private readonly deployment: deploymentShape.Deployment, private readonly options: WorkloadOptions) {
		this.#random = new util.Random(options.seed);
		this.#first = cumulate(deployment.firstLevels, deployment.firstLevelSkew);
		this.#second = cumulate(deployment.secondLevels, deployment.secondLevelSkew);
	}

	/** Returns all requests of the run in order of arrival (a Poisson process). */
	list(): WorkloadRequest[] {
		const requests: WorkloadRequest[] = [];
		const meanMs = millisecondsPerSecond / this.options.requestsPerSecond;
		let atMs = 0;
		while (atMs < this.options.durationMs) {
			atMs += this.#random.exponential(meanMs);
			requests.push(this.next(atMs));
		}

		return requests;
	}

	/** Returns one request for each prefix, in random order. */
	listAllPrefixes(): WorkloadRequest[] {
		const {firstLevels, secondLevels} = this.deployment;
		return Array.from({length: firstLevels * secondLevels}, (_, index) => index)
			.map(index => ({index, order: this.#random.fraction()}))
			.sort((left, right) => left.order - right.order)
			.map(({index}) => this.#create(0, Math.floor(index / secondLevels), index % secondLevels));
	}

	/** Draws one request. */
	next(atMs: number): WorkloadRequest {
		const {deployment} = this;
		const moved = this.options.hotSpotMovesAtMs !== undefined && atMs >= this.options.hotSpotMovesAtMs;
		const rank = draw(this.#first, this.#random);
		const first = moved ? (rank + Math.floor(deployment.firstLevels / 2)) % deployment.firstLevels : rank;
		return this.#create(atMs, first, draw(this.#second, this.#random));
	}

	#create(atMs: number, first: number, second: number): WorkloadRequest {
		const {deployment} = this;
		// The first account, the largest, owns every second prefix; the others share the rest.
		const account = `account-${first % 2 === 0 ? 0 : 1 + (first % (deployment.accounts - 1))}`;
		const index = this.#index;
		this.#index += 1;
		return {index, atMs, placement: toPlacement(deployment, account, {first, second, index})};
	}
}

function toPlacement(
	deployment: deploymentShape.Deployment,
	account: string,
	place: {readonly first: number; readonly second: number; readonly index: number},
): core.placement.PlacementRequest {
	const names = [
		...Array.from({length: deployment.firstLevelPieces}, (_, piece) => `first ${place.first} ${piece}`),
		...Array.from({length: deployment.secondLevelPieces}, (_, piece) => `second ${place.second} ${piece}`),
	];
	let chain = core.util.hash64(account);
	const homeKeys = names.map(name => {
		chain = core.util.hash64(name, chain);
		return chain.toString(16).padStart(16, '0');
	});
	const promptTokens = (names.length * deploymentShape.pieceTokens) + deploymentShape.questionTokens;
	const prompt = {
		account, homeKeys, pieceTokens: deploymentShape.pieceTokens, promptTokens,
	};
	return {
		requestId: `request-${place.index}`,
		account,
		service: deployment.service,
		weights: deploymentShape.weightsKey,
		pieces: core.cache.bindPrefix(prompt, deploymentShape.weights),
		homeKeys,
		promptTokens,
		maxTokens: deployment.maxTokens,
		excluded: new Set(),
	};
}

function cumulate(count: number, skew: number): number[] {
	const shares = Array.from({length: count}, (_, rank) => (rank + 1) ** -skew);
	const total = shares.reduce((sum, share) => sum + share, 0);
	let sum = 0;
	return shares.map(share => {
		sum += share / total;
		return sum;
	});
}

function draw(cumulated: readonly number[], random: util.Random): number {
	const value = random.fraction();
	const index = cumulated.findIndex(limit => value < limit);
	return index === -1 ? cumulated.length - 1 : index;
}
