/** Faults that can be injected into a stand-in through its fault port. */
export enum FaultName {
	/** Kills the process; a stand-in inside another process closes all its listeners and resets all connections. */
	Crash = 'crash',
	/** Executes nothing and sends no response until `clear`; connections stay open and new ones are accepted. */
	Freeze = 'freeze',
	/** Stops all traffic on the open connections for good without closing them; new connections work. */
	Silent = 'silent',
	/** Refuses new connections; open ones keep working. */
	Refuse = 'refuse',
	/** Delays each response by `ms`. */
	Delay = 'delay',
	/** Resets all connections and refuses new ones. */
	Outage = 'outage',
	/** Executes writes, but closes the connection without a response with the given `probability`. */
	LoseResponses = 'lose_answers',
	/** Executes writes `ms` after they arrive. */
	LateWrites = 'late_writes',
	/** Drops each event with the given `probability`. */
	DropEvents = 'drop_events',
	/** Announces in load reports that the endpoint is leaving; it keeps working. */
	Leave = 'leave',
	/** Clears all faults, except that silent connections stay silent. */
	Clear = 'clear',
}

/** Body of `POST /fault` on a fault port. */
export type FaultRequest = {
	readonly fault: FaultName;
	/** For `delay` and `late_writes`: milliseconds. */
	readonly ms?: number;
	/** For `lose_answers` and `drop_events`: from 0 to 1; default 1. */
	readonly probability?: number;
};
