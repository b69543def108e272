/** Exit statuses of the router program. */
export enum ExitCode {
	/** Ended as asked, after a planned stop. */
	Ok = 0,
	/** The settings have findings. */
	Findings = 1,
	/** The command line is malformed. */
	Usage = 2,
	/** An address cannot be listened on. */
	CannotListen = 3,
}
