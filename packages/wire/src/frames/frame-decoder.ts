import {Buffer} from 'node:buffer';
import * as purify from 'purify-ts';
import * as peerMessageType from '../peer/peer-message-type.js';
import * as codec from './codec.js';
import type * as frameEncoder from './frame-encoder.js';
import * as frameError from './frame-error.js';
import * as frameLimits from './frame-limits.js';

const knownTypes: ReadonlySet<unknown> = new Set(Object.values(peerMessageType.PeerMessageType));

function isFrameMessage(value: unknown): value is frameEncoder.FrameMessage {
	return typeof value === 'object' && value !== null && knownTypes.has((value as {type?: unknown}).type);
}

function decodeBody(body: Uint8Array): purify.Either<frameError.FrameError, frameEncoder.FrameMessage> {
	let value: unknown;
	try {
		value = codec.decode(body);
	} catch (err) {
		return purify.Left({code: frameError.FrameErrorCode.Malformed, message: String(err)});
	}

	if (!isFrameMessage(value)) {
		return purify.Left({code: frameError.FrameErrorCode.UnknownType, message: 'frame body is not a map with a known message type'});
	}

	return purify.Right(value);
}

/**
 * Decodes the frames of a byte stream. After an error the rest of the stream is ignored, since the start of the next
 * frame is unknown.
 */
export class FrameDecoder {
	private readonly chunks: Uint8Array[] = [];
	private bufferedBytes = 0;
	private streamError: frameError.FrameError | undefined;

	constructor(private readonly maxFrameBodyBytes = frameLimits.defaultMaxFrameBodyBytes) {}

	/**
	 * Adds the next bytes of the stream and calls `onMessage` with each message that is complete.
	 *
	 * @returns The first error of the stream; `onMessage` has been called with all messages before it.
	 */
	push(chunk: Uint8Array, onMessage: (message: frameEncoder.FrameMessage) => void): frameError.FrameError | undefined {
		if (this.streamError !== undefined) {
			return this.streamError;
		}

		this.chunks.push(chunk);
		this.bufferedBytes += chunk.length;
		this.streamError = this.decodeBuffered(onMessage);
		return this.streamError;
	}

	private decodeBuffered(onMessage: (message: frameEncoder.FrameMessage) => void): frameError.FrameError | undefined {
		while (this.bufferedBytes >= frameLimits.lengthPrefixBytes) {
			const length = this.readBodyLength();
			if (length > this.maxFrameBodyBytes) {
				return {
					code: frameError.FrameErrorCode.TooLarge,
					message: `frame body of ${length} bytes exceeds the limit of ${this.maxFrameBodyBytes} bytes`,
				};
			}

			if (this.bufferedBytes < frameLimits.lengthPrefixBytes + length) {
				return undefined;
			}

			const body = this.takeBody(length);
			const decoded = decodeBody(body);
			if (decoded.isLeft()) {
				return decoded.swap().unsafeCoerce();
			}

			decoded.ifRight(onMessage);
		}

		return undefined;
	}

	private readBodyLength(): number {
		if (this.chunks[0]!.length < frameLimits.lengthPrefixBytes) {
			this.joinChunks();
		}

		const first = this.chunks[0]!;
		return new DataView(first.buffer, first.byteOffset, first.byteLength).getUint32(0);
	}

	private takeBody(length: number): Uint8Array {
		const end = frameLimits.lengthPrefixBytes + length;
		if (this.chunks[0]!.length < end) {
			this.joinChunks();
		}

		const first = this.chunks[0]!;
		this.bufferedBytes -= end;
		if (first.length === end) {
			this.chunks.shift();
		} else {
			this.chunks[0] = first.subarray(end);
		}

		return first.subarray(frameLimits.lengthPrefixBytes, end);
	}

	private joinChunks(): void {
		const joined = Buffer.concat(this.chunks);
		this.chunks.length = 0;
		this.chunks.push(joined);
	}
}
