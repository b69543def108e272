import * as clients from '@bluebellmast/kv';
import * as bodyFilter from '../call/body-filter.js';
import * as bodyReader from '../call/body-reader.js';
import * as call from '../call/index.js';
import * as abortResponse from '../util/abort-response.js';
import type * as clocks from '../util/clocks.js';
import type * as connectionInputs from './connection-inputs.js';

/** Time for which the rest of a refused request's body is awaited, in milliseconds: callers give a request up that is not read within it. */
const maxDiscardMs = 1000;
/** Size of the rest that is awaited while no configured limit of bodies is known, in bytes. */
const defaultMaxDiscardBytes = 1_048_576;
/** A body that arrives in so many pieces, of so few bytes on the average, is not awaited, since it costs more than a new connection. */
const minFragmentedPieces = 64;
const minPieceBytes = 64;
/** Longest time for which a connection is kept after a refusal, in milliseconds, for requests without a deadline. */
const maxLingerMs = 30_000;

/** A request whose head may be malformed. */
export type UndecodedRequest = Pick<call.RequestContext, 'req' | 'res' | 'arrivedAt' | 'earlyBody'> & Partial<call.RequestContext>;

function isDecoded(ctx: UndecodedRequest): ctx is call.RequestContext {
	return ctx.head !== undefined;
}

/** Sends refusals so that their callers receive them, also if they are still sending the body. */
export class RefusalSender {
	constructor(private readonly clock: clocks.Clocks, private readonly inputs: connectionInputs.ConnectionInputs) {}

	/** Sends a refusal once the body has ended, so that the connection can be kept, or after a bounded time. */
	async send(ctx: UndecodedRequest, refusal: call.Refusal): Promise<void> {
		const {req, res} = ctx;
		if (!req.complete && !res.headersSent && refusal.code !== call.RefusalCode.BodyTimeout) {
			await this.#discardBody(ctx);
		}

		if (!res.headersSent && (!req.complete || refusal.code === call.RefusalCode.MalformedRequest)) {
			res.setHeader('Connection', 'close');
		}

		if (!req.complete) {
			clients.connections.setLingerTime(req.socket, this.#computeLingerMs(ctx));
			this.inputs.discard(req.socket);
		}

		call.sendRefusal(res, refusal);
		if (!res.writableEnded) {
			// A response has started that can't be completed.
			abortResponse.abortResponse(res);
		}
	}

	async #discardBody(ctx: UndecodedRequest): Promise<void> {
		let pieces = 0;
		let bytes = 0;
		const remainingMs = isDecoded(ctx) ? bodyFilter.computeRemainingMs(ctx, this.clock.monotonicNow()) : Infinity;
		await bodyReader.readBody(ctx, {
			maxBytes: ctx.table?.config.limits.bodyBytes ?? defaultMaxDiscardBytes,
			maxMs: Math.min(maxDiscardMs, remainingMs),
		}, chunk => {
			pieces += 1;
			bytes += chunk.length;
			return pieces < minFragmentedPieces || bytes >= pieces * minPieceBytes;
		});
	}

	/** Callers may go on sending until their deadline. */
	#computeLingerMs({head, arrivedAt}: UndecodedRequest): number {
		const endsAt = arrivedAt + (head?.deadlineMs ?? Infinity);
		return Math.min(maxLingerMs, Math.max(clients.connections.minLingerMs, endsAt - this.clock.monotonicNow()));
	}
}
