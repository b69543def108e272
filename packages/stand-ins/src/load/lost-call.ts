/** An attempt whose connection failed before a complete response arrived. */
export type LostCall = {
	readonly request: string;
	readonly target: string;
	/** Milliseconds since the Unix epoch. */
	readonly sentAt: number;
	readonly endedAt: number;
	readonly detail: string;
};
