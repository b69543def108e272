import type * as model from '../model/index.js';

/** Why an order is given. */
export enum OrderReason {
	/** The weights are recalled. */
	Recalled = 'recalled',
	/** The endpoint lacks weights that are to be served. */
	Missing = 'missing',
	/** The weights are in the manifest no more. */
	Unneeded = 'unneeded',
	/** The manifest gives the endpoint another role. */
	RoleChanged = 'role_changed',
}

/** What an order asks for. */
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

/** An order that was sent and whose effect no reading shows so far. */
export type OrderInFlight = PlannedOrder & {
	/** When it was sent, in milliseconds. */
	readonly sentAt: number;
};

/** What an engine holds, as last read. */
export type EngineState = {
	readonly role: model.EngineRole;
	readonly weights: readonly model.WeightsKey[];
	readonly loading: readonly model.WeightsKey[];
	/** Requests that it works on, over all routers. */
	readonly running: number;
	/** Since when it has been draining, in milliseconds; absent when it is not. */
	readonly drainingSince?: number;
};
