import type * as core from '@bluebellmast/core';

/** What an order asks of an engine. */
export enum EngineOrderType {
	Load = 'load',
	Unload = 'unload',
	SetRole = 'set_role',
}

/** Body of `POST /v1/orders`. */
export type EngineOrder = {
	/** Idempotent: an engine carries out one order id once. */
	readonly orderId: string;
	readonly type: EngineOrderType;
	/** Text form of weights, for load and unload. */
	readonly weights?: core.model.WeightsKey;
	readonly role?: core.model.EngineRole;
	/** Revision of the leader's lease; some engines refuse an older one than they have seen. */
	readonly fencing: number;
};

/** How an engine answered an order. */
export enum EngineOrderResult {
	Accepted = 'accepted',
	Done = 'done',
	RefusedFencing = 'refused_fencing',
	Failed = 'failed',
}

/** Answer to `POST /v1/orders`. */
export type EngineOrderResponse = {
	readonly orderId: string;
	readonly result: EngineOrderResult;
};

/** Body of `GET /v1/holdings`: what an engine holds, read without lag. */
export type EngineHoldings = {
	readonly incarnation: core.model.Incarnation;
	readonly role: core.model.EngineRole;
	/** Weights that are loaded. */
	readonly weights: readonly core.model.WeightsKey[];
	/** Weights that are being loaded. */
	readonly loading: readonly core.model.WeightsKey[];
	/** Largest fencing number seen. */
	readonly fencing: number;
};
