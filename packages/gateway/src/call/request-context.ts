import type * as http from 'node:http';
import type * as core from '@bluebellmast/core';
import type * as ports from '../ports/index.js';
import type * as responseTimer from './response-timer.js';

/** A request on its way through the filters. */
export type RequestContext = {
	readonly req: http.IncomingMessage;
	readonly res: http.ServerResponse;
	readonly head: ports.CallHead;
	/** When the head was read, in steady milliseconds. */
	readonly arrivedAt: number;
	/** Tables of the configuration that the request is served by. */
	table?: core.routing.RouteTable;
	route?: core.routing.Route;
	/** Account that holds the request's key; absent on public routes. */
	account?: core.routing.ApiAccount;
	body?: Uint8Array;
	/** Whether an answer was begun that could not be completed. */
	isTruncated?: boolean;
	/** Times of the answer, once the request has ended. */
	responseTimes?: responseTimer.ResponseTimes;
};

/** A request whose route is known and whose body was read. */
export type RoutedRequest = RequestContext & {
	readonly table: core.routing.RouteTable;
	readonly route: core.routing.Route;
};

/** Returns whether the connection of a caller is closed before its answer is complete. */
export function isCallerDisconnected(ctx: RequestContext): boolean {
	return ctx.res.destroyed || ctx.req.socket.destroyed;
}
