/** Whether a request was executed, as far as is known. */
export enum ExecutionState {
	/** Nothing was executed, and the router will never send the request. */
	NotRun = 'not_run',
	/** The request may or may not have been executed. */
	Unknown = 'unknown',
	/** The request was executed. */
	Done = 'done',
}
