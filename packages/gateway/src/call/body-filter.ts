import * as buffer from 'node:buffer';
import type * as callContext from './call-context.js';
import type * as filter from './filter.js';
import * as refusals from './refusal.js';

/** Reads the body of a request, up to the configured size. */
export class BodyFilter implements filter.CallFilter {
	async check(ctx: callContext.CallContext): Promise<refusals.Refusal | undefined> {
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
}
