import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import type * as clocks from '../util/clocks.js';
import * as bodyReader from './body-reader.js';
import type * as requestContext from './request-context.js';
import type * as requestFilter from './request-filter.js';
import * as refusals from './refusal.js';

/** Reads the body of a request; refuses it if the body exceeds the configured size or is not complete by the deadline. */
export class BodyFilter implements requestFilter.RequestFilter {
	constructor(private readonly clock: clocks.Clocks) {}

	async check(ctx: requestContext.RequestContext): Promise<refusals.Refusal | undefined> {
		const chunks: Uint8Array[] = [];
		const maxBytes = ctx.table?.config.limits.bodyBytes ?? Infinity;
		const maxMs = computeRemainingMs(ctx, this.clock.monotonicNow());
		const bodyEnd = await bodyReader.readBody(ctx.req, {maxBytes, maxMs}, chunk => {
			chunks.push(chunk);
		});
		switch (bodyEnd) {
			case bodyReader.BodyEnd.TooLarge: {
				return {code: refusals.RefusalCode.BodyTooLarge};
			}

			case bodyReader.BodyEnd.TimedOut: {
				return {code: refusals.RefusalCode.BodyTimeout};
			}

			case bodyReader.BodyEnd.Aborted: {
				// No response can be sent.
				ctx.res.destroy();
				return undefined;
			}

			case bodyReader.BodyEnd.Complete: {
				ctx.body = chunks.length > 0 || announcesBody(ctx.req) ? buffer.Buffer.concat(chunks) : undefined;
				return undefined;
			}
		}
	}
}

/** Returns the time until the deadline of a request and the timeout of its route, in milliseconds; `Infinity` if neither is known. */
export function computeRemainingMs({head, route, arrivedAt}: requestContext.RequestContext, now: number): number {
	const allowedMs = Math.min(head.deadlineMs ?? Infinity, route?.timeoutMs ?? Infinity);
	return Math.max(0, arrivedAt + allowedMs - now);
}

function announcesBody(req: http.IncomingMessage): boolean {
	return req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined;
}
