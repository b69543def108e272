import type * as http from 'node:http';
import type * as core from '@bluebellmast/core';
import type * as ports from '../ports/index.js';
import type * as earlyBodies from './early-body.js';
import type * as quotaPermit from './quota-permit.js';
import type * as responseTimer from './response-timer.js';

/** State of a request that the filters and the dispatcher share. */
export type RequestContext = {
	readonly req: http.IncomingMessage;
	readonly res: http.ServerResponse;
	readonly head: ports.RequestHead;
	/** When the head was received, in milliseconds of the monotonic clock. */
	readonly arrivedAt: number;
	/** What has arrived of a chunked body before it is read. */
	readonly earlyBody?: earlyBodies.EarlyBody;
	/** Lookup tables of the configuration that applies to the request. */
	table?: core.routing.RouteTable;
	route?: core.routing.Route;
	/** Account to which the API key of the request belongs; absent on public routes. */
	account?: core.routing.ApiAccount;
	/** Units of the account's quota; absent if it has none. */
	quotaPermit?: quotaPermit.QuotaPermit;
	body?: Uint8Array;
	/** Whether the request was sent to an endpoint that may have executed it; refused attempts don't count. */
	isSent?: boolean;
	/** Whether this process ends the connection, as its grace period is over. */
	isProcessEnding?: boolean;
	/** Whether a response was started that could not be completed. */
	isTruncated?: boolean;
	/** Why the request was not sent to another endpoint after a failed attempt. */
	obstacle?: core.log.RetryObstacle;
	/** Times of the response; set when the request has ended. */
	responseTimes?: responseTimer.ResponseTimes;
};

/** A request whose route is known and whose body has been read. */
export type RoutedRequest = RequestContext & {
	readonly table: core.routing.RouteTable;
	readonly route: core.routing.Route;
};

/** Returns whether the caller can't receive a response any more: its connection is closed or ended, or its request was refused at the end of a shutdown. */
export function isCallerDisconnected(ctx: RequestContext): boolean {
	// Node closes a connection soon after its caller has ended its side.
	return ctx.res.destroyed || ctx.res.writableEnded || ctx.req.socket.destroyed || ctx.req.socket.readableEnded;
}
