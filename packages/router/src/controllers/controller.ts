/** Keeps one concern's state: drives its decisions in core with time, messages and results of calls. */
export interface Controller { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Begins work; called once. */
	start(): Promise<void>;
	/** Hands over duties and ends timers and connections; called once, at a planned stop. */
	stop(): Promise<void>;
}
