import type * as http from 'node:http';
import * as clients from '@bluebellmast/kv';
import type * as earlyBodies from './early-body.js';

/** How the reading of a body ended. */
export enum BodyEnd {
	Complete = 'complete',
	TooLarge = 'too_large',
	TimedOut = 'timed_out',
	/** A part of the body was not accepted. */
	Rejected = 'rejected',
	/** The caller closed its connection or sent invalid framing. */
	Aborted = 'aborted',
}

/** A request whose body has not been read. */
export type UnreadBody = {
	readonly req: http.IncomingMessage;
	/** What has arrived of a chunked body. */
	readonly earlyBody?: earlyBodies.EarlyBody;
};

/** Bounds of the reading of a body. */
export type BodyBounds = {
	readonly maxBytes: number;
	readonly maxMs: number;
	/** Called with a function that ends the reading as if a part had not been accepted. */
	readonly onReading?: (stop: () => void) => void;
};

/**
 * Reads the body of a request. Unlike an asynchronous iteration that is left early, this neither destroys the request nor separates it
 * from its connection; what arrives after the end of the reading is discarded.
 *
 * @param acceptChunk - Returns whether to go on reading.
 */
export async function readBody({req, earlyBody}: UnreadBody, bounds: BodyBounds, acceptChunk: (chunk: Uint8Array) => boolean): Promise<BodyEnd> {
	const early = earlyBody?.take();
	const earlyBytes = early?.length ?? 0;
	if (early !== undefined && earlyBytes > 0) {
		const bodyEnd = earlyBytes > bounds.maxBytes ? BodyEnd.TooLarge : (acceptChunk(early) ? undefined : BodyEnd.Rejected);
		if (bodyEnd !== undefined) {
			req.resume();
			return bodyEnd;
		}
	}

	if (req.readableEnded) {
		return BodyEnd.Complete;
	}

	if (req.destroyed) {
		return BodyEnd.Aborted;
	}

	return new Promise(resolve => {
		let size = earlyBytes;
		const endWith = (bodyEnd: BodyEnd): void => {
			timer.clear();
			req.off('data', onData).off('end', onEnd).off('error', onAborted).off('close', onAborted);
			req.resume();
			resolve(bodyEnd);
		};

		const onEnd = (): void => {
			endWith(BodyEnd.Complete);
		};

		const onAborted = (): void => {
			endWith(BodyEnd.Aborted);
		};

		const onData = (chunk: Uint8Array): void => {
			size += chunk.length;
			if (size > bounds.maxBytes) {
				endWith(BodyEnd.TooLarge);
			} else if (!acceptChunk(chunk)) {
				endWith(BodyEnd.Rejected);
			}
		};

		const timer = new clients.timeouts.InputTimer(bounds.maxMs, () => {
			endWith(BodyEnd.TimedOut);
		});
		bounds.onReading?.(() => {
			endWith(BodyEnd.Rejected);
		});
		req.on('data', onData).once('end', onEnd).once('error', onAborted).once('close', onAborted);
	});
}
