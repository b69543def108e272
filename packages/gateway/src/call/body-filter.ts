import type * as http from 'node:http';
import * as byteAccumulator from '../util/byte-accumulator.js';
import type * as clocks from '../util/clocks.js';
import * as bodyMemory from './body-memory.js';
import * as bodyReader from './body-reader.js';
import type * as requestContext from './request-context.js';
import type * as requestFilter from './request-filter.js';
import * as refusals from './refusal.js';

/** Refusal of a request for whose body there is no memory: it can be sent to another VM at once, or to this one when others have ended. */
const noMemoryRefusal: refusals.Refusal = {code: refusals.RefusalCode.MemoryUsed, retryAfterMs: refusals.noEndpointRetryAfterMs};

/** Names and values of headers that a request usually has at most, and the memory that one of them takes, in bytes. */
const usualHeaderTexts = 200;
const headerTextBytes = 80;

/**
 * Reads the body of a request; refuses it if the body exceeds the configured size, is not complete by the deadline, or the bodies of all requests together take too much
 * memory. A body that states its length is refused before it is read if it does not fit beside those that are complete.
 */
export class BodyFilter implements requestFilter.RequestFilter {
	constructor(private readonly clock: clocks.Clocks, private readonly memory = new bodyMemory.BodyMemory()) {}

	async check(ctx: requestContext.RequestContext): Promise<refusals.Refusal | undefined> {
		const maxBytes = ctx.table?.config.limits.bodyBytes ?? Infinity;
		const statedBytes = getStatedBytes(ctx.req);
		if (statedBytes > 0 && statedBytes <= maxBytes && !this.memory.fits(statedBytes)) {
			return noMemoryRefusal;
		}

		let stopReading: (() => void) | undefined;
		const reservation = this.memory.open({
			account: ctx.account?.name ?? '',
			now: this.clock.monotonicNow(),
			onEvicted() {
				stopReading?.();
			},
		});
		const headMemory = computeHeadMemory(ctx.req);
		if (headMemory > 0 && !reservation.grow(headMemory, this.clock.monotonicNow())) {
			reservation.complete();
			return noMemoryRefusal;
		}

		const headBytes = reservation.bytes;
		const body = new byteAccumulator.ByteAccumulator();
		const bounds = {
			maxBytes,
			maxMs: computeRemainingMs(ctx, this.clock.monotonicNow()),
			onReading(stop: () => void) {
				stopReading = stop;
			},
		};
		const bodyEnd = await bodyReader.readBody(ctx, bounds, chunk => {
			body.push(chunk);
			const missingBytes = headBytes + body.allocatedBytes - reservation.bytes;
			return missingBytes <= 0 || reservation.grow(missingBytes, this.clock.monotonicNow());
		});
		reservation.complete();
		const refusal = this.#finish(ctx, bodyEnd, body);
		if (refusal !== undefined || ctx.res.closed) {
			reservation.release();
		} else {
			ctx.res.once('close', () => {
				reservation.release();
			});
		}

		return refusal;
	}

	#finish(ctx: requestContext.RequestContext, bodyEnd: bodyReader.BodyEnd, body: byteAccumulator.ByteAccumulator): refusals.Refusal | undefined {
		switch (bodyEnd) {
			case bodyReader.BodyEnd.TooLarge: {
				return {code: refusals.RefusalCode.BodyTooLarge};
			}

			case bodyReader.BodyEnd.TimedOut: {
				return {code: refusals.RefusalCode.BodyTimeout};
			}

			case bodyReader.BodyEnd.Rejected: {
				return noMemoryRefusal;
			}

			case bodyReader.BodyEnd.Aborted: {
				// No response can be sent.
				ctx.res.destroy();
				return undefined;
			}

			case bodyReader.BodyEnd.Complete: {
				ctx.body = body.length > 0 || announcesBody(ctx.req) ? body.take() : undefined;
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

/** Returns the memory that the head of a request takes, as far as it is more than usual, in bytes. */
function computeHeadMemory({rawHeaders}: http.IncomingMessage): number {
	return rawHeaders.length <= usualHeaderTexts ? 0 : rawHeaders.length * headerTextBytes;
}

/** Returns the length that the head of a request states for its body; 0 if it states none. */
function getStatedBytes(req: http.IncomingMessage): number {
	const length = Number(req.headers['content-length'] ?? 0);
	return Number.isSafeInteger(length) ? length : 0;
}

function announcesBody(req: http.IncomingMessage): boolean {
	return req.headers['content-length'] !== undefined || req.headers['transfer-encoding'] !== undefined;
}
