/** Exit statuses of the router program. */
export enum ExitCode {
	/** The command succeeded, or the router ended with a graceful shutdown. */
	Ok = 0,
	/** The settings have findings. */
	Findings = 1,
	/** The command line is malformed. */
	Usage = 2,
	/** The router cannot listen on one of its addresses. */
	CannotListen = 3,
}
