import {Buffer} from 'node:buffer';
import * as chai from 'chai';
import * as fc from 'fast-check';
import * as wire from '@bluebellmast/wire';

function frameOf(message: wire.frames.FrameMessage): Uint8Array {
	return Buffer.from(wire.frames.encodeFrame(message).unsafeCoerce());
}

function rawFrame(body: Uint8Array): Uint8Array {
	const prefix = Buffer.alloc(wire.frames.lengthPrefixBytes);
	prefix.writeUInt32BE(body.length, 0);
	return Buffer.concat([prefix, body]);
}

function decodeAll(chunks: readonly Uint8Array[], maxFrameBodyBytes?: number) {
	const decoder = new wire.frames.FrameDecoder(maxFrameBodyBytes);
	const messages: wire.frames.FrameMessage[] = [];
	let failure: wire.frames.FrameError | undefined;
	for (const chunk of chunks) {
		failure = decoder.push(chunk, message => {
			messages.push(message);
		});
	}

	return {messages, failure};
}

describe('FrameDecoder', () => {
	it('decodes the same messages whatever the chunk boundaries', () => {
		const sent = [
			{type: wire.peer.PeerMessageType.Heartbeat},
			{type: wire.peer.PeerMessageType.Usage, counts: {a: 1, b: 2.5}, body: new Uint8Array(300).fill(7)},
			{type: wire.peer.PeerMessageType.Ack, text: 'é'.repeat(50), list: [1, 'x', true]},
		];
		const stream = Buffer.concat(sent.map(message => frameOf(message)));
		fc.assert(fc.property(fc.array(fc.integer({min: 0, max: stream.length}), {maxLength: 12}), cutOffsets => {
			const offsets = [0, ...cutOffsets, stream.length].sort((a, b) => a - b);
			const chunks = offsets.slice(1).map((offset, i) => stream.subarray(offsets[i], offset));
			const {messages, failure} = decodeAll(chunks);
			chai.expect(failure).to.equal(undefined);
			chai.expect(JSON.stringify(messages)).to.equal(JSON.stringify(sent.map(message => (
				'body' in message ? {...message, body: Buffer.from(message.body!)} : message
			))));
		}), {seed: 11, numRuns: 200});
	});

	const invalidFrames = [
		{name: 'a length over the limit', bytes: Buffer.from([0x7F, 0xFF, 0xFF, 0xFF]), code: wire.frames.FrameErrorCode.TooLarge},
		{name: 'a truncated CBOR item', bytes: rawFrame(Buffer.from([0xA1, 0x64])), code: wire.frames.FrameErrorCode.Malformed},
		{name: 'an empty body', bytes: rawFrame(Buffer.alloc(0)), code: wire.frames.FrameErrorCode.Malformed},
		{
			name: 'bytes after the CBOR item',
			bytes: rawFrame(Buffer.concat([wire.frames.encode({type: 'heartbeat'}), Buffer.from([1])])),
			code: wire.frames.FrameErrorCode.Malformed,
		},
		{name: 'a text instead of a map', bytes: rawFrame(wire.frames.encode('hello')), code: wire.frames.FrameErrorCode.UnknownType},
		{name: 'an unknown message type', bytes: rawFrame(wire.frames.encode({type: 'none'})), code: wire.frames.FrameErrorCode.UnknownType},
	];
	for (const {name, bytes, code} of invalidFrames) {
		it(`reports ${name} and ignores the rest of the stream`, () => {
			const validFrame = frameOf({type: wire.peer.PeerMessageType.Heartbeat});
			const {messages, failure} = decodeAll([validFrame, bytes, validFrame]);
			chai.expect(failure?.code).to.equal(code);
			chai.expect(messages).to.have.length(1);
		});
	}

	it('never throws on random bytes', () => {
		fc.assert(fc.property(fc.array(fc.uint8Array({maxLength: 60}), {maxLength: 6}), bodies => {
			decodeAll(bodies.map(body => rawFrame(body)), 64);
		}), {seed: 12, numRuns: 1000});
	});

	it('returns an error for a message over the size limit', () => {
		const result = wire.frames.encodeFrame({type: wire.peer.PeerMessageType.Usage, text: 'x'.repeat(100)} as wire.frames.FrameMessage, 50);
		chai.expect(result.isLeft()).to.equal(true);
	});
});
