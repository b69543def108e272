/** Whether a request was executed, as far as is known. */
export enum ExecutionState {
	/** Nothing was executed, and nothing will be: the router does not send the request any more. */
	NotRun = 'not_run',
	/** The request may or may not have been executed. */
	Unknown = 'unknown',
	/** The request was executed. */
	Done = 'done',
}
