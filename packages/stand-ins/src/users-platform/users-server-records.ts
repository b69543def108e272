import type * as http from 'node:http';
import type * as fault from '../fault/index.js';

/** Options of a server stand-in of the users' platform. */
export type UsersServerOptions = fault.StandInOptions & {
	readonly id: string;
	readonly service: string;
	/** Model that the server streams completions of; without it the server runs a plain service. */
	readonly model?: string;
	/** Number of events in each stream; default 3. */
	readonly eventCount?: number;
	/** Delay before the first event of a stream, in milliseconds; default 0. */
	readonly firstEventDelayMs?: number;
	/** Interval between stream events and duration of a plain request, in milliseconds; default 1. */
	readonly intervalMs?: number;
	/** Duration of a weight load in milliseconds; default 20. */
	readonly loadMs?: number;
	/** Delay of an order under `OrderFault.Late`, in milliseconds; default 300. */
	readonly lateOrderDelayMs?: number;
	/** Whether response bodies name the server and the id of their request; default false. */
	readonly identifiesRequests?: boolean;
	/** Part of a prompt, other than the last one, on which the process ends soon after the first event; default none. */
	readonly crashingPart?: string;
	/** Called when the process has ended on the crashing part. */
	readonly onCrash?: () => void;
};

/** Faults in the handling of orders. */
export enum OrderFault {
	None = 'none',
	/** Sends no response and executes the order after a delay if its preconditions still hold. */
	Late = 'late',
	/** Closes the connection without executing the order. */
	Lost = 'lost',
}

/** Faults in the handling of requests. */
export enum ServerFault {
	None = 'none',
	/** Refuses every request with status 503, as a server without a free slot does. */
	Full = 'full',
	/** Executes the request and closes the connection without a response. */
	ResponseLost = 'answer_lost',
	/** Resets the connection of a stream after its first event. */
	BreakStream = 'break_stream',
	/** Leaves out the second event of a stream. */
	SkipEvent = 'skip_event',
	/** Responds with the request id of another request. */
	WrongId = 'wrong_id',
	/** Responds without the signature header. */
	Unsigned = 'unsigned',
	/** Sends a response without a length or chunked encoding, and resets the connection after it. */
	UnframedReset = 'unframed_reset',
	/** Sends a complete response without a length or chunked encoding, and closes the connection after it. */
	Unframed = 'unframed',
	/** Executes the request and responds with status 500. */
	Fails = 'fails',
	/** Sends the response twice in succession. */
	DuplicateResponse = 'doubled',
	/** Sends the response again just before the response to the next request on the same connection. */
	LateDuplicateResponse = 'doubled_late',
	/** Responds before the request body is read. */
	EarlyResponse = 'early',
	/** Sends bytes that are not an HTTP response. */
	InvalidHttp = 'nonsense',
}

/** A request that a server executed. */
export type UsersServerExecution = {
	readonly server: string;
	readonly requestId: string;
	readonly path: string;
	readonly body: string;
	readonly headers: http.IncomingHttpHeaders;
	/** Arrival time in milliseconds since the Unix epoch. */
	readonly arrivedAt: number;
	/** When the work on it was to end, as it seemed at its start. */
	readonly expectedEndAt: number;
	/** When its response was complete or its connection closed; before the work began if that was in a silence. */
	endedAt?: number;
};

/** A request that reached a server, whether it was executed or not. */
export type UsersServerArrival = {
	readonly requestId: string;
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
};

/** The first event of a stream, with which the stream starts to run. */
export type UsersServerStart = {
	readonly server: string;
	readonly requestId: string;
	readonly version: number;
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
};

/** An order to load a weight version. */
export type UsersServerOrder = {
	readonly version: number;
	readonly holder: string;
	readonly fence: number;
	/** Number of orders that must have been accepted before this one; absent when any number is allowed. */
	readonly expected?: number;
	/** Arrival time in milliseconds since the Unix epoch. */
	readonly arrivedAt: number;
};

/** An arrival at a server that asks for a pause. */
export type PausedArrival = {
	readonly path: string;
	/** Milliseconds since the Unix epoch. */
	readonly at: number;
};

/** A pause that a server asks for. */
export type AskedPause = {
	/** Value of `Retry-After`. */
	readonly retryAfter: string;
	/** Milliseconds since the Unix epoch. */
	readonly until: number;
	readonly includesCalls: boolean;
};

/** Result of an order. */
export type OrderResult = {
	readonly status: number;
	readonly isAccepted: boolean;
};
