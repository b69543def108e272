/** Why the connection of a caller was closed. */
export enum TurnAwayReason {
	/** More requests wait on one connection for the responses of earlier ones than a connection may have. */
	PipelinedRequests = 'pipelined_requests',
}
