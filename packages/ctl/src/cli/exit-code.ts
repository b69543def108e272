/** Exit statuses of the operators' tool. */
export enum ExitCode {
	/** Done as asked. */
	Ok = 0,
	/** A file has findings. */
	Findings = 1,
	/** The command line is malformed or a file can't be read. */
	Usage = 2,
	/** The change is refused: it is stale or another change won. Nothing was changed. */
	Refused = 3,
	/** The platform or a router can't be reached. A change was not accepted. */
	Unreachable = 4,
	/** It is not known whether the change was accepted. */
	OutcomeUnknown = 5,
	/** The change was accepted, but not all routers have confirmed it. */
	NotConfirmed = 6,
}
