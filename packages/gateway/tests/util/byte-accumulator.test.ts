import {Buffer} from 'node:buffer';
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const maxBlockBytes = 65_536;

describe('ByteAccumulator', () => {
	it('returns the bytes of all pieces in their order, and takes at most about twice their memory', () => {
		const piece = fastCheck.oneof(fastCheck.uint8Array({maxLength: 5}), fastCheck.uint8Array({minLength: 1000, maxLength: 3000}));
		fastCheck.assert(fastCheck.property(fastCheck.array(piece, {maxLength: 40}), pieces => {
			const bytes = new gateway.util.ByteAccumulator();
			for (const each of pieces) {
				bytes.push(each);
				expect(bytes.allocatedBytes).to.be.at.most(Math.max(1024, (2 * bytes.length) + each.length));
			}

			expect(bytes.length).to.equal(pieces.reduce((sum, {length}) => sum + length, 0));
			expect(Buffer.from(bytes.take()).equals(Buffer.concat(pieces))).to.equal(true);
			expect(bytes.length + bytes.allocatedBytes).to.equal(0);
		}), {seed: 75});
	});

	it('takes memory by the number of bytes, not by that of the pieces', () => {
		const bytes = new gateway.util.ByteAccumulator();
		for (let count = 0; count < 1_000_000; count++) {
			bytes.push(Buffer.from('x'));
		}

		expect(bytes.length).to.equal(1_000_000);
		expect(bytes.allocatedBytes).to.be.at.most(1_000_000 + maxBlockBytes);
	});

	it('keeps a single large piece without a copy, unless it is a small part of a larger buffer', () => {
		const large = Buffer.allocUnsafeSlow(4000);
		const bytes = new gateway.util.ByteAccumulator();
		bytes.push(large);
		expect(bytes.take().buffer).to.equal(large.buffer);
		const part = Buffer.allocUnsafeSlow(maxBlockBytes).subarray(0, 2000);
		bytes.push(part);
		expect(bytes.take().buffer.byteLength).to.be.at.most(4000);
	});
});
