/** Owns the state of one subsystem and passes timer ticks, messages and call results to its decision logic in core. */
export interface Controller { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Starts timers and subscriptions; called once. */
	start(): Promise<void>;
	/** Releases leadership and leases, and closes timers and connections; called once, at a graceful shutdown. */
	stop(): Promise<void>;
}
