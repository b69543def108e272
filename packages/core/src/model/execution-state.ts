/** Whether a request was carried out, as far as is known. */
export enum ExecutionState {
	/** Nothing was carried out, and the router will never send the request. */
	NotRun = 'not_run',
	/** The request may or may not have been carried out. */
	Unknown = 'unknown',
	/** The request was carried out. */
	Done = 'done',
}
