import type * as core from '@bluebellmast/core';
import type * as purify from 'purify-ts';
import type * as callerProtocol from './caller-protocol.js';

/** What the gateway tells an endpoint in addition to the caller's request. */
export type AttemptDirectives = {
	/** Id of the intended endpoint; another endpoint at the same address refuses the request. */
	readonly endpointId: string;
	/** Milliseconds that the endpoint may take to respond. */
	readonly deadlineMs: number;
	readonly account?: string;
	/** Version of the model's weights that the endpoint must use. */
	readonly weightVersion?: number;
	/** Namespace of the KV cache; cached state is shared only between requests with the same namespace. */
	readonly cacheNamespace?: string;
	/** `IP:PORT` of the cache store from which the endpoint fetches prompt parts that it has not cached. */
	readonly fetchCacheFrom?: string;
	/** `IP:PORT` of the cache store to which the endpoint saves the prompt parts that it computes. */
	readonly saveCacheTo?: string;
	/** Priority among the endpoint's requests; 0 is the most urgent. */
	readonly priority?: number;
	/** Id of the last event that was delivered, when a stream is resumed. */
	readonly lastEventId?: number;
};

/** What a response states of the requests that its endpoint takes from all VMs together. */
export type StatedLimit = {
	/** Absent if the text is no valid rate. */
	readonly requestsPerSecond: number | undefined;
	/** The text of the response, for the log. */
	readonly text: string;
};

/** Decoded head of an endpoint's response. */
export type ResponseHead = {
	readonly status: number;
	/** Whether an endpoint other than the intended one responded, or one with another version of the weights. */
	readonly isMisdirected: boolean;
	readonly requestId?: string;
	/** Whether the endpoint states that it did not execute the request. */
	readonly isNotExecuted: boolean;
	/** Whether callers conclude from the status, whoever sends it, that the request was not executed. */
	readonly hasNotExecutedStatus: boolean;
	/** Id of the endpoint that sent the response, if it states it. */
	readonly respondingEndpoint?: string;
	/** Whether the sender states that it is leaving. */
	readonly isLeaving: boolean;
	/** Whether the response has the endpoint's signature. */
	readonly isSigned: boolean;
	readonly load?: core.fleet.ReportedLoad;
	/** Time for which the endpoint wants nothing more from this VM, in milliseconds; absent if it states none. */
	readonly retryAfterMs?: number;
	/** Absent if the response states no limit. */
	readonly requestLimit?: StatedLimit;
	/** Version of the weights that generate the response. */
	readonly weightVersion?: number;
};

/** Returns whether the head of a response states that the intended endpoint is leaving; another one may respond at its address. */
export function announcesLeaving(head: ResponseHead, endpointId: string): boolean {
	return head.isLeaving && isFromIntended(head, endpointId);
}

/** Returns whether the head of a response is of the intended endpoint; another one may respond at its address. */
export function isFromIntended(head: ResponseHead, endpointId: string): boolean {
	return head.respondingEndpoint === undefined ? !head.isMisdirected : head.respondingEndpoint === endpointId;
}

/** Header values by name, as parsed by the HTTP client. */
export type ParsedHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Encodes the heads of requests to endpoints and decodes the heads of their responses. */
export interface EndpointProtocol { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns header names and values, alternating. */
	encodeRequestHead(head: callerProtocol.RequestHead, directives: AttemptDirectives): string[];
	decodeResponseHead(status: number, headers: ParsedHeaders): ResponseHead;
}

/** State of an engine as it reports it; up to some hundred milliseconds old. */
export type EngineReport = {
	/** Start time of the incarnation that responded, in Unix milliseconds; 0 if it was not reported. */
	readonly bornAt: number;
	/** Version of the loaded weights by model. */
	readonly weights: ReadonlyMap<string, number>;
	/** Whether the engine is executing an order. */
	readonly isBusy: boolean;
	/** Number of orders accepted since the start of the incarnation. */
	readonly acceptedOrders: number;
};

/** An order to an engine to load a version of a model's weights. */
export type WeightLoadOrder = {
	readonly model: string;
	readonly version: number;
	/** Name of the VM that sends the order as the leader. */
	readonly holder: string;
	/** Fencing token of the leader's lease. */
	readonly fence: number;
	/** Number of orders that the engine is expected to have accepted before; absent if unknown. */
	readonly acceptedOrders?: number;
};

/** Outcome of an order. */
export enum OrderOutcome {
	/** The engine has begun to execute it. */
	Accepted = 'accepted',
	/** The engine already has the weights. */
	AlreadyDone = 'already_done',
	/** Another order is in progress, or the number of accepted orders differs from the expected one. */
	Conflict = 'conflict',
	/** The engine has seen a higher fencing token, so a newer leader has sent orders. */
	Fenced = 'fenced',
	/** The engine rejected it: another incarnation has the address, or the order is invalid. */
	Rejected = 'rejected',
	/** There was no response: the engine may execute the order now or later. */
	Unknown = 'unknown',
}

/** Response to an order. */
export type OrderResponse = {
	readonly outcome: OrderOutcome;
	/** Time for which the endpoint wants nothing more from this VM, in milliseconds; absent if it states none. */
	readonly retryAfterMs?: number;
};

/** Result of a health check. */
export type HealthCheck = {
	readonly isAlive: boolean;
	/** Whether the connection was established, and closed or reset before a response. */
	readonly isReset?: boolean;
	/** Time for which the endpoint wants nothing more from this VM, in milliseconds; absent if it states none. */
	readonly retryAfterMs?: number;
};

/** A failed call to an endpoint. */
export type EndpointCallError = {
	readonly message: string;
	/** Whether the connection was established, and closed or reset before a response. */
	readonly isReset?: boolean;
	/** Time for which the endpoint wants nothing more from this VM, in milliseconds; absent if it states none. */
	readonly retryAfterMs?: number;
};

/** Receives a limit that an endpoint states. */
export type LimitListener = (endpoint: core.fleet.EndpointIncarnation, limit: StatedLimit) => void;

/** Calls to endpoints other than callers' requests. */
export interface EndpointAdmin { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns whether an endpoint of a plain service responds. */
	checkHealth(entry: core.fleet.EndpointEntry, pool: core.routing.Pool): Promise<HealthCheck>;
	/** Reads the state of an engine; a success also shows that the engine responds. */
	readReport(entry: core.fleet.EndpointEntry): Promise<purify.Either<EndpointCallError, EngineReport>>;
	orderWeightLoad(entry: core.fleet.EndpointEntry, order: WeightLoadOrder): Promise<OrderResponse>;
	/** Sets the listener for responses of any call that announce that the endpoint is leaving. */
	setLeavingListener(listener: (endpoint: core.fleet.EndpointIncarnation) => void): void;
	/** Sets the listener for limits that responses of any call state. */
	setLimitListener(listener: LimitListener): void;
}
