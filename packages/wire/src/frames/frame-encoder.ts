import {Buffer} from 'node:buffer';
import * as purify from 'purify-ts';
import type * as peerMessageType from '../peer/peer-message-type.js';
import * as codec from './codec.js';
import * as frameError from './frame-error.js';
import * as frameLimits from './frame-limits.js';

/** Content of a frame: a map whose field `type` is the message type. */
export type FrameMessage = {
	readonly type: peerMessageType.PeerMessageType;
};

/** Encodes a message as a frame: the length of the body in 4 bytes, big-endian, then the body in CBOR. */
export function encodeFrame(
	message: FrameMessage,
	maxFrameBodyBytes = frameLimits.defaultMaxFrameBodyBytes,
): purify.Either<frameError.FrameError, Uint8Array> {
	const body = codec.encode(message);
	if (body.length > maxFrameBodyBytes) {
		return purify.Left({
			code: frameError.FrameErrorCode.TooLarge,
			message: `frame body of message ${message.type} has ${body.length} bytes, which exceeds the limit of ${maxFrameBodyBytes} bytes`,
		});
	}

	const frame = Buffer.allocUnsafe(frameLimits.lengthPrefixBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, frameLimits.lengthPrefixBytes);
	return purify.Right(frame);
}
