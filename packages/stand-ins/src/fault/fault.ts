/** A fault that a stand-in can be given on its fault port. */
export enum FaultName {
	/** The process ends abruptly; in-process: everything is closed abruptly. */
	Crash = 'crash',
	/** Nothing is worked on or answered until `clear`; connections stay open and new ones are accepted. */
	Freeze = 'freeze',
	/** Connections that are open now go silent for good; new ones work. */
	Silent = 'silent',
	/** New connections are refused; open ones go on. */
	Refuse = 'refuse',
	/** Each answer is delayed by `ms`. */
	Delay = 'delay',
	/** Connections are closed and new ones refused. */
	Outage = 'outage',
	/** Writes take effect but a share of `probability` of their answers is lost. */
	LoseAnswers = 'lose_answers',
	/** Writes take effect `ms` after they arrived. */
	LateWrites = 'late_writes',
	/** A share of `probability` of events is dropped. */
	DropEvents = 'drop_events',
	/** Load reports say that the endpoint is going away; it works on. */
	Leave = 'leave',
	/** Ends all faults but silence of connections. */
	Clear = 'clear',
}

/** Body of `POST /fault` on a fault port. */
export type FaultRequest = {
	readonly fault: FaultName;
	/** For `delay` and `late_writes`: milliseconds. */
	readonly ms?: number;
	/** For `lose_answers` and `drop_events`; default 1. */
	readonly probability?: number;
};
