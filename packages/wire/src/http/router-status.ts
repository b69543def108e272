import type * as core from '@bluebellmast/core';

/** Response to `GET /admin/status`: the state of one router, for operators. */
export type RouterStatus = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly dataCentre: core.model.DataCentreId;
	/** Whether the router reports itself ready to the load balancer. */
	readonly ready: boolean;
	/** Whether the router is shutting down gracefully. */
	readonly stopping: boolean;
	/** Generation of the active manifest; 0 before the first. */
	readonly generation: core.model.Generation;
	/** Whether the router could recently confirm that this generation is the newest. */
	readonly confirmed: boolean;
	/** Number of requests in progress. */
	readonly requestsUnderWay: number;
	/** One record for each known router. */
	readonly members: readonly unknown[];
	/** One record for each endpoint, with its id in `id`. */
	readonly endpoints: ReadonlyArray<Readonly<Record<string, unknown>>>;
	/** Counters by name. */
	readonly counters: Readonly<Record<string, number>>;
};
