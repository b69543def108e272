import * as buffer from 'node:buffer';
import type * as clocks from '../util/clocks.js';
import type * as requestContext from './request-context.js';
import type * as requestFilter from './request-filter.js';
import * as refusals from './refusal.js';

/** Reads the body of a request; refuses it if the body exceeds the configured size or is not complete by the deadline. */
export class BodyFilter implements requestFilter.RequestFilter {
	constructor(private readonly clock: clocks.Clocks) {}

	async check(ctx: requestContext.RequestContext): Promise<refusals.Refusal | undefined> {
		let timer: NodeJS.Timeout | undefined;
		const timeout = new Promise<refusals.Refusal>(resolve => {
			timer = setTimeout(() => {
				resolve({code: refusals.RefusalCode.BodyTimeout});
			}, this.#remainingMs(ctx));
		});
		try {
			return await Promise.race([readBody(ctx), timeout]);
		} finally {
			clearTimeout(timer);
		}
	}

	#remainingMs({head, route, arrivedAt}: requestContext.RequestContext): number {
		const allowedMs = Math.min(head.deadlineMs ?? Infinity, route?.timeoutMs ?? Infinity);
		return Math.max(0, arrivedAt + allowedMs - this.clock.monotonicNow());
	}
}

async function readBody(ctx: requestContext.RequestContext): Promise<refusals.Refusal | undefined> {
	const maxBytes = ctx.table?.config.limits.bodyBytes ?? Infinity;
	const chunks: Uint8Array[] = [];
	let size = 0;
	try {
		for await (const chunk of ctx.req as AsyncIterable<Uint8Array>) {
			size += chunk.length;
			if (size > maxBytes) {
				return {code: refusals.RefusalCode.BodyTooLarge};
			}

			chunks.push(chunk);
		}
	} catch {
		// The caller closed its connection or sent invalid framing, so no response can be sent.
		ctx.res.destroy();
		return undefined;
	}

	const hasBody = size > 0 || ctx.req.headers['content-length'] !== undefined
		|| ctx.req.headers['transfer-encoding'] !== undefined;
	ctx.body = hasBody ? buffer.Buffer.concat(chunks, size) : undefined;
	return undefined;
}
