/** Why the connection of a caller was closed. */
export enum TurnAwayReason {
	/** More requests wait on one connection for the responses of earlier ones than a connection may have. */
	PipelinedRequests = 'pipelined_requests',
	/** The VM has as many connections of callers as it may, and none that could be closed for this one. */
	Connections = 'connections',
	/** The incomplete heads of all connections take as much memory as they may, and this one is the oldest. */
	HeadMemory = 'head_memory',
	/** What waits to be parsed of bodies in small chunks takes as much memory as it may, and this one has waited for the longest time. */
	InputMemory = 'input_memory',
	/** Responses that callers don't read use the memory for responses, and this caller has not read for the longest time. */
	ResponseMemory = 'response_memory',
}
