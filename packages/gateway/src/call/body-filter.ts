import * as buffer from 'node:buffer';
import type * as clocks from '../util/clocks.js';
import type * as callContext from './call-context.js';
import type * as filter from './filter.js';
import * as refusals from './refusal.js';

/** Reads the body of a request, up to the configured size and the request's deadline. */
export class BodyFilter implements filter.CallFilter {
	constructor(private readonly clock: clocks.Clocks) {}

	async check(ctx: callContext.CallContext): Promise<refusals.Refusal | undefined> {
		let timer: NodeJS.Timeout | undefined;
		const expiry = new Promise<refusals.Refusal>(resolve => {
			timer = setTimeout(() => {
				resolve({code: refusals.RefusalCode.BodyTimeout});
			}, this.#timeLeftMs(ctx));
		});
		try {
			return await Promise.race([readBody(ctx), expiry]);
		} finally {
			clearTimeout(timer);
		}
	}

	#timeLeftMs({head, route, arrivedAt}: callContext.CallContext): number {
		const allowedMs = Math.min(head.deadlineMs ?? Infinity, route?.timeoutMs ?? Infinity);
		return Math.max(0, arrivedAt + allowedMs - this.clock.steadyNow());
	}
}

async function readBody(ctx: callContext.CallContext): Promise<refusals.Refusal | undefined> {
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
		// The caller closed its connection or broke the framing; nobody is left to answer.
		ctx.res.destroy();
		return undefined;
	}

	const hasBody = size > 0 || ctx.req.headers['content-length'] !== undefined
		|| ctx.req.headers['transfer-encoding'] !== undefined;
	ctx.body = hasBody ? buffer.Buffer.concat(chunks, size) : undefined;
	return undefined;
}
