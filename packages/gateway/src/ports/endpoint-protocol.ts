import type * as core from '@bluebellmast/core';
import type * as purify from 'purify-ts';
import type * as callerProtocol from './caller-protocol.js';

/** What the gateway tells an endpoint beside the caller's own request. */
export type AttemptDirectives = {
	/** Endpoint that is meant; another one at the address refuses the request. */
	readonly endpointId: string;
	/** Milliseconds that the endpoint may take. */
	readonly deadlineMs: number;
	readonly account?: string;
	/** Version of the model's weights that the endpoint must hold. */
	readonly weightVersion?: number;
	/** Cached state is shared only between requests with the same namespace. */
	readonly cacheNamespace?: string;
	/** `IP:PORT` of a store from which the endpoint fetches cached parts that it lacks. */
	readonly fetchCacheFrom?: string;
	/** `IP:PORT` of a store to which the endpoint saves the parts that it computed. */
	readonly saveCacheTo?: string;
	/** Rank among the endpoint's requests; 0 is the most urgent. */
	readonly priority?: number;
	/** Last event that was delivered, where a stream goes on. */
	readonly lastEventId?: number;
};

/** Head of an endpoint's answer. */
export type ResponseHead = {
	readonly status: number;
	/** Whether another endpoint answered than the one that was meant, or its weights have another version. */
	readonly isMisdirected: boolean;
	readonly requestId?: string;
	/** Whether the endpoint states that it did not run the request. */
	readonly isNotExecuted: boolean;
	/** Whether the answer carries the endpoint's signature. */
	readonly isSigned: boolean;
	readonly load?: core.fleet.ReportedLoad;
	/** Version of the weights that make the answer. */
	readonly weightVersion?: number;
};

/** Header names with their values, as a library parsed them. */
export type ParsedHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Encodes what endpoints get, and decodes heads of their answers. */
export interface EndpointProtocol { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns header names and values by turns. */
	encodeRequestHead(head: callerProtocol.RequestHead, directives: AttemptDirectives): string[];
	decodeResponseHead(status: number, headers: ParsedHeaders): ResponseHead;
}

/** State of an engine as it reports it, some hundred milliseconds late. */
export type EngineReport = {
	/** Start of the incarnation that answered, in Unix milliseconds; 0 where it is not told. */
	readonly bornAt: number;
	/** Version of the weights of each model. */
	readonly weights: ReadonlyMap<string, number>;
	/** Whether an order is being carried out. */
	readonly isBusy: boolean;
	/** Orders accepted since the start of the incarnation. */
	readonly acceptedOrders: number;
};

/** An order to load new weights. */
export type WeightLoadOrder = {
	readonly model: string;
	readonly version: number;
	/** Name of the VM that gives the order. */
	readonly holder: string;
	/** Fencing number of the holder's lease. */
	readonly fence: number;
	/** Orders that the engine is expected to have accepted before; absent where unknown. */
	readonly acceptedOrders?: number;
};

/** What became of an order. */
export enum OrderOutcome {
	/** It is being carried out. */
	Accepted = 'accepted',
	/** The engine holds the weights already. */
	AlreadyDone = 'already_done',
	/** Another order is in progress, or the number of accepted orders differs. */
	Conflict = 'conflict',
	/** A newer leader has given orders. */
	Fenced = 'fenced',
	/** The engine has not taken it: another incarnation has the address, or the order is not valid. */
	Rejected = 'rejected',
	/** No answer: it may be carried out, now or later. */
	Unknown = 'unknown',
}

/** A failed call to an endpoint. */
export type EndpointCallError = {
	readonly message: string;
};

/** Calls to endpoints that are not requests of callers. */
export interface EndpointAdmin { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns whether an endpoint of a plain service answers at all. */
	isAlive(entry: core.fleet.EndpointEntry, pool: core.routing.Pool): Promise<boolean>;
	/** Reads the state of an engine, which tells also that it answers. */
	readReport(entry: core.fleet.EndpointEntry): Promise<purify.Either<EndpointCallError, EngineReport>>;
	orderWeightLoad(entry: core.fleet.EndpointEntry, order: WeightLoadOrder): Promise<OrderOutcome>;
}
