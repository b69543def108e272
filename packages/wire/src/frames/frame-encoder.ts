import {Buffer} from 'node:buffer';
import * as purify from 'purify-ts';
import type * as peerMessageType from '../peer/peer-message-type.js';
import * as codec from './codec.js';
import * as frameError from './frame-error.js';
import * as frameLimits from './frame-limits.js';

/** What every frame carries: a map whose field `type` names the message. */
export type FrameMessage = {
	readonly type: peerMessageType.PeerMessageType;
};

/** Encodes a message as a frame: body length in 4 bytes, then the body in CBOR. */
export function encodeFrame(
	message: FrameMessage,
	maxFrameBodyBytes = frameLimits.defaultMaxFrameBodyBytes,
): purify.Either<frameError.FrameError, Uint8Array> {
	const body = codec.encode(message);
	if (body.length > maxFrameBodyBytes) {
		return purify.Left({
			code: frameError.FrameErrorCode.TooLarge,
			message: `${message.type} of ${body.length} bytes exceeds ${maxFrameBodyBytes}`,
		});
	}

	const frame = Buffer.allocUnsafe(frameLimits.lengthPrefixBytes + body.length);
	frame.writeUInt32BE(body.length, 0);
	frame.set(body, frameLimits.lengthPrefixBytes);
	return purify.Right(frame);
}
