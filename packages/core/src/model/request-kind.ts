/** A kind of request, with the service that it is agreed to get. */
export type RequestKind = {
	readonly id: string;
	/** Weight of one such request in the service count and in shedding; larger is shed later. */
	readonly weight: number;
	/** Priority that the engine is given; larger goes first. */
	readonly priority: number;
	/** Deadline when the caller names none, in milliseconds from arrival. */
	readonly deadlineMs: number;
	/** Whether a request may be carried out more than once. */
	readonly repeatable: boolean;
};
