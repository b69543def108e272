import * as core from '@bluebellmast/core';
import * as cbor from 'cbor-x';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const digest: core.fleet.LoadDigest = {
	vm: 'vm-1',
	sequence: 7,
	endpoints: [{
		endpoint: 'a', active: 2, prefillTokens: 500, sinceLastReceivedMs: 12,
	}],
	cacheObservations: [{type: core.fleet.CacheObservationType.Stored, key: 'n/1', endpoint: 'a'}],
};
const leavingEndpoints = [{id: 'a', bornAt: 1_790_000_000_000}, {id: 'b', bornAt: 0}];

describe('the codec of digests', () => {
	it('decodes what it encoded', () => {
		for (const each of [digest, {...digest, leavingEndpoints}]) {
			expect(gateway.peers.decodeDigest(gateway.peers.encodeDigest(each))).to.deep.equal(each);
		}
	});

	it('leaves the four elements that older versions read as they were', () => {
		const plain = cbor.decode(gateway.peers.encodeDigest(digest)) as unknown[];
		const extended = cbor.decode(gateway.peers.encodeDigest({...digest, leavingEndpoints})) as unknown[];
		expect(plain).to.have.lengthOf(4);
		expect(extended.slice(0, 4)).to.deep.equal(plain);
	});

	it('ignores extensions that it does not know or cannot read', () => {
		const message = cbor.decode(gateway.peers.encodeDigest(digest)) as unknown[];
		const extensions = [undefined, null, 5, 'text', [], {}, {leaving: 5}, {leaving: [5]}, {leaving: [['a', 'b']]}, {another: [1]}];
		for (const extension of extensions) {
			expect(gateway.peers.decodeDigest(cbor.encode([...message, extension, 'more']))).to.deep.equal(digest);
		}
	});
});
