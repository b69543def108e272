/** Exit statuses of the operators' tool. */
export enum ExitCode {
	/** The command succeeded. */
	Ok = 0,
	/** A file has findings, or nothing was found. */
	Findings = 1,
	/** The command line is malformed or a file can't be read. */
	Usage = 2,
	/** The change was refused, for example because another was accepted first. Nothing was changed. */
	Refused = 3,
	/** The key-value service or a router can't be reached. A change was not accepted. */
	Unreachable = 4,
	/** It is not known whether the change was accepted. */
	OutcomeUnknown = 5,
	/** The change was accepted, but not all routers have confirmed it. */
	NotConfirmed = 6,
}
