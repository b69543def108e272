import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as purify from 'purify-ts';

/** Why a body could not be read. */
export enum BodyError {
	TooLarge = 'too_large',
	Timeout = 'timeout',
	CallerDisconnected = 'caller_gone',
}

/** Bounds on reading a body. */
export type ReadBodyOptions = {
	/** Bytes at most. */
	readonly maxBytes: number;
	/** Milliseconds for the whole body. */
	readonly timeoutMs: number;
};

/** Reads a request's whole body within its bounds. */
export async function readBody(
	req: http.IncomingMessage,
	options: ReadBodyOptions,
): Promise<purify.Either<BodyError, Uint8Array>> {
	if (Number(req.headers['content-length'] ?? 0) > options.maxBytes) {
		return purify.Left(BodyError.TooLarge);
	}

	return new Promise(resolve => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		const finish = (result: purify.Either<BodyError, Uint8Array>) => {
			clearTimeout(timer);
			req.removeAllListeners('data');
			resolve(result);
		};

		const timer = setTimeout(() => {
			finish(purify.Left(BodyError.Timeout));
		}, options.timeoutMs);
		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > options.maxBytes) {
				finish(purify.Left(BodyError.TooLarge));
				return;
			}

			chunks.push(chunk);
		});
		req.once('end', () => {
			finish(purify.Right(buffer.Buffer.concat(chunks)));
		});
		req.once('close', () => {
			finish(purify.Left(BodyError.CallerDisconnected));
		});
	});
}
