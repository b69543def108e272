/** A kind of request, with its agreed service level. */
export type RequestKind = {
	readonly id: string;
	/** Weight of a request in service accounting and load shedding; requests with a larger weight are shed later. */
	readonly weight: number;
	/** Priority that is passed to the engine; a larger one goes first. */
	readonly priority: number;
	/** Default deadline, in milliseconds from arrival. */
	readonly deadlineMs: number;
	/** Whether a request may safely be executed more than once. */
	readonly repeatable: boolean;
};
