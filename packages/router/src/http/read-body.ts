import * as buffer from 'node:buffer';
import type * as http from 'node:http';
import * as clients from '@bluebellmast/kv';
import * as purify from 'purify-ts';

/** Why a body could not be read. */
export enum BodyError {
	TooLarge = 'too_large',
	Timeout = 'timeout',
	CallerDisconnected = 'caller_gone',
}

/** Limits for reading a request body. */
export type ReadBodyOptions = {
	/** Maximum size in bytes. */
	readonly maxBytes: number;
	/** Time limit for the whole body, in milliseconds. */
	readonly timeoutMs: number;
};

/** Reads a request body. Returns an error if it exceeds a limit or the caller disconnects. */
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
			timer.clear();
			req.removeAllListeners('data');
			resolve(result);
		};

		const timer = new clients.timeouts.InputTimer(options.timeoutMs, () => {
			finish(purify.Left(BodyError.Timeout));
		});
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
