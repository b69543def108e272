import type * as core from '@bluebellmast/core';

/** What an order tells an engine to do. */
export enum EngineOrderType {
	Load = 'load',
	Unload = 'unload',
	SetRole = 'set_role',
}

/** Body of `POST /v1/orders`. */
export type EngineOrder = {
	/** Idempotency key: an engine executes each order id once. */
	readonly orderId: string;
	readonly type: EngineOrderType;
	/** Weights to load or unload. */
	readonly weights?: core.model.WeightsKey;
	readonly role?: core.model.EngineRole;
	/** Fencing token: the revision of the leader's lease. Engines that check it refuse one that is older than the newest they have seen. */
	readonly fencing: number;
};

/** Result of an order. */
export enum EngineOrderResult {
	Accepted = 'accepted',
	Done = 'done',
	RefusedFencing = 'refused_fencing',
	Failed = 'failed',
}

/** Response to `POST /v1/orders`. */
export type EngineOrderResponse = {
	readonly orderId: string;
	readonly result: EngineOrderResult;
};

/** Response to `GET /v1/holdings`: the present role and weights of an engine; unlike a load report it is never out of date. */
export type EngineHoldings = {
	readonly incarnation: core.model.Incarnation;
	readonly role: core.model.EngineRole;
	/** Weights that are loaded. */
	readonly weights: readonly core.model.WeightsKey[];
	/** Weights that are being loaded. */
	readonly loading: readonly core.model.WeightsKey[];
	/** Largest fencing token that the engine has seen. */
	readonly fencing: number;
};
