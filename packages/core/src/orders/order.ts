import type * as model from '../model/index.js';

/** Reason for an order. */
export enum OrderReason {
	/** The weights are recalled. */
	Recalled = 'recalled',
	/** The engine lacks weights that it is to hold. */
	Missing = 'missing',
	/** The manifest no longer contains the weights. */
	Unneeded = 'unneeded',
	/** The manifest assigns the engine another role. */
	RoleChanged = 'role_changed',
}

/** Action that an order asks an engine to carry out. */
export enum OrderAction {
	Load = 'load',
	Unload = 'unload',
	SetRole = 'set_role',
}

/** An order to be sent to an engine. */
export type PlannedOrder = {
	readonly endpoint: model.EndpointId;
	readonly action: OrderAction;
	readonly reason: OrderReason;
	readonly weights?: model.WeightsKey;
	readonly role?: model.EngineRole;
};

/** An order that was sent and whose effect is not yet visible in the engine's state. */
export type OrderInFlight = PlannedOrder & {
	/** Time in milliseconds at which the order was sent. */
	readonly sentAt: number;
};

/** State of an engine, as last read. */
export type EngineState = {
	readonly role: model.EngineRole;
	readonly weights: readonly model.WeightsKey[];
	readonly loading: readonly model.WeightsKey[];
	/** Number of running requests, from all routers. */
	readonly running: number;
	/** Time in milliseconds since which the engine has been draining; absent when it is not. */
	readonly drainingSince?: number;
};
