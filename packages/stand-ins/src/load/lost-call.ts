/** A request that was left without an answer. */
export type LostCall = {
	readonly request: string;
	readonly target: string;
	/** Milliseconds since the Unix epoch. */
	readonly sentAt: number;
	readonly endedAt: number;
	readonly detail: string;
};
