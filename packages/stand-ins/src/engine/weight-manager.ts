import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as undici from 'undici';
import * as util from '../util/index.js';

/** Options of a weight manager. */
export type WeightManagerOptions = {
	readonly weights: readonly core.model.WeightsKey[];
	readonly checksFencing: boolean;
	readonly loadMs: number;
	/** Base URL of the weight store; without it a load takes `loadMs`. */
	readonly weightStore: string | undefined;
	/** Called with weights that were unloaded. */
	readonly onUnload: (weights: core.model.WeightsKey) => void;
};

/** Executes the orders to an engine: loads and unloads weights, and sets the role. */
export class WeightManager {
	role = core.model.EngineRole.Mixed;
	readonly #weights: Set<core.model.WeightsKey>;
	readonly #loading = new Set<core.model.WeightsKey>();
	readonly #results = new Map<string, wire.endpoint.EngineOrderResult>();
	#highestFencingToken = 0;

	constructor(private readonly options: WeightManagerOptions) {
		this.#weights = new Set(options.weights);
	}

	/** Weights that are loaded. */
	get weights(): core.model.WeightsKey[] {
		return [...this.#weights];
	}

	/** Weights that are being loaded. */
	get loading(): core.model.WeightsKey[] {
		return [...this.#loading];
	}

	/** Highest fencing token seen. */
	get fencing(): number {
		return this.#highestFencingToken;
	}

	/** Returns whether the given weights are loaded. */
	isLoaded(weights: core.model.WeightsKey): boolean {
		return this.#weights.has(weights);
	}

	/** Executes an order. A repeated order id returns the current result of the first order with that id. */
	executeOrder(order: wire.endpoint.EngineOrder): wire.endpoint.EngineOrderResponse {
		const knownResult = this.#results.get(order.orderId);
		if (knownResult !== undefined) {
			return {orderId: order.orderId, result: knownResult};
		}

		if (this.options.checksFencing && order.fencing < this.#highestFencingToken) {
			return {orderId: order.orderId, result: wire.endpoint.EngineOrderResult.RefusedFencing};
		}

		this.#highestFencingToken = Math.max(this.#highestFencingToken, order.fencing);
		const result = this.#startOrder(order);
		this.#results.set(order.orderId, result);
		return {orderId: order.orderId, result};
	}

	#startOrder(order: wire.endpoint.EngineOrder): wire.endpoint.EngineOrderResult {
		if (order.type === wire.endpoint.EngineOrderType.SetRole) {
			this.role = order.role ?? this.role;
			return wire.endpoint.EngineOrderResult.Done;
		}

		const {weights} = order;
		if (weights === undefined) {
			return wire.endpoint.EngineOrderResult.Failed;
		}

		if (order.type === wire.endpoint.EngineOrderType.Unload) {
			this.#weights.delete(weights);
			this.#loading.delete(weights);
			this.options.onUnload(weights);
			return wire.endpoint.EngineOrderResult.Done;
		}

		if (this.#weights.has(weights)) {
			return wire.endpoint.EngineOrderResult.Done;
		}

		void this.#loadWeights(order.orderId, weights);
		return wire.endpoint.EngineOrderResult.Accepted;
	}

	async #loadWeights(orderId: string, weights: core.model.WeightsKey): Promise<void> {
		this.#loading.add(weights);
		const isFetched = await this.#fetchWeights(weights);
		const isStillWanted = this.#loading.delete(weights);
		if (isFetched && isStillWanted) {
			this.#weights.add(weights);
		}

		const isLoaded = isFetched && isStillWanted;
		this.#results.set(orderId, isLoaded ? wire.endpoint.EngineOrderResult.Done : wire.endpoint.EngineOrderResult.Failed);
	}

	async #fetchWeights(weights: core.model.WeightsKey): Promise<boolean> {
		if (this.options.weightStore === undefined) {
			await util.sleep(this.options.loadMs);
			return true;
		}

		try {
			const url = `${this.options.weightStore}/v1/weights/${encodeURIComponent(weights)}/load`;
			const res = await undici.request(url, {method: 'POST'});
			await res.body.dump();
			return res.statusCode === 200;
		} catch {
			return false;
		}
	}
}
