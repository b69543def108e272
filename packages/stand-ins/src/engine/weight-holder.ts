import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as undici from 'undici';
import * as util from '../util/index.js';

/** Options of the holder. */
export type WeightHolderOptions = {
	readonly weights: readonly core.model.WeightsKey[];
	readonly checksFencing: boolean;
	readonly loadMs: number;
	/** Base URL of the weight store. */
	readonly weightStore: string | undefined;
	/** Told of weights that were unloaded. */
	readonly onUnload: (weights: core.model.WeightsKey) => void;
};

/** Carries out orders: loads and unloads weights, sets the role. */
export class WeightHolder {
	role = core.model.EngineRole.Mixed;
	readonly #weights: Set<core.model.WeightsKey>;
	readonly #loading = new Set<core.model.WeightsKey>();
	readonly #results = new Map<string, wire.endpoint.EngineOrderResult>();
	#fencing = 0;

	constructor(private readonly options: WeightHolderOptions) {
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

	/** Largest fencing number seen. */
	get fencing(): number {
		return this.#fencing;
	}

	/** Returns whether weights are loaded. */
	has(weights: core.model.WeightsKey): boolean {
		return this.#weights.has(weights);
	}

	/** Takes an order; a repeated id gives the present result of the first. */
	take(order: wire.endpoint.EngineOrder): wire.endpoint.EngineOrderResponse {
		const known = this.#results.get(order.orderId);
		if (known !== undefined) {
			return {orderId: order.orderId, result: known};
		}

		if (this.options.checksFencing && order.fencing < this.#fencing) {
			return {orderId: order.orderId, result: wire.endpoint.EngineOrderResult.RefusedFencing};
		}

		this.#fencing = Math.max(this.#fencing, order.fencing);
		const result = this.#begin(order);
		this.#results.set(order.orderId, result);
		return {orderId: order.orderId, result};
	}

	#begin(order: wire.endpoint.EngineOrder): wire.endpoint.EngineOrderResult {
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

		void this.#load(order.orderId, weights);
		return wire.endpoint.EngineOrderResult.Accepted;
	}

	async #load(orderId: string, weights: core.model.WeightsKey): Promise<void> {
		this.#loading.add(weights);
		const fetched = await this.#fetch(weights);
		const stillWanted = this.#loading.delete(weights);
		if (fetched && stillWanted) {
			this.#weights.add(weights);
		}

		const done = fetched && stillWanted;
		this.#results.set(orderId, done ? wire.endpoint.EngineOrderResult.Done : wire.endpoint.EngineOrderResult.Failed);
	}

	async #fetch(weights: core.model.WeightsKey): Promise<boolean> {
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
