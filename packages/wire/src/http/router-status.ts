import type * as core from '@bluebellmast/core';

/** Answer to `GET /admin/status`: the state of one router, for operators. */
export type RouterStatus = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly dataCentre: core.model.DataCentreId;
	/** Whether the balancer is told to send requests. */
	readonly ready: boolean;
	/** Whether a planned stop is under way. */
	readonly stopping: boolean;
	/** Generation in force; 0 before the first. */
	readonly generation: core.model.Generation;
	/** Whether the generation can be confirmed at present. */
	readonly confirmed: boolean;
	readonly requestsUnderWay: number;
	/** One record for each router that takes part. */
	readonly members: readonly unknown[];
	/** One record for each endpoint, with its id in `id`. */
	readonly endpoints: ReadonlyArray<Readonly<Record<string, unknown>>>;
	/** Counters by name. */
	readonly counters: Readonly<Record<string, number>>;
};
