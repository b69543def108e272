import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const update: core.fleet.LoadUpdate = {
	vm: 'vm-1',
	sequence: 1_790_000_000_007,
	load: {
		endpoint: 'a', active: 2, prefillTokens: 17_020, sinceLastReceivedMs: 12,
	},
	cacheObservations: [{type: core.fleet.CacheObservationType.Sent, key: 'n/p', endpoint: 'a'}],
};

describe('updates of one endpoint', () => {
	for (const message of [update, {...update, load: {...update.load, sinceLastReceivedMs: undefined}, cacheObservations: []}]) {
		it(`are decoded as they were encoded: ${message.cacheObservations.length} observations`, () => {
			const decoded = gateway.peers.decodeDatagram(gateway.peers.encodeUpdate(message));
			expect(gateway.peers.toUpdate(decoded)).to.deep.equal(message);
			expect(gateway.peers.toDigest(decoded)).to.equal(undefined);
			expect(gateway.peers.toQuotaMessage(decoded)).to.equal(undefined);
		});
	}

	it('take about 100 bytes', () => {
		expect(gateway.peers.encodeUpdate({
			...update, vm: 'frontend-ch-west-a-12', load: {...update.load, endpoint: 'i-86cf70f69f'}, cacheObservations: [{...update.cacheObservations[0]!, key: 'daka510000@12+jeye930/91bd3f06'}],
		}).length).to.be.at.most(110);
	});

	for (const message of [undefined, 3, [], [3], [3, 'vm', 1, 'a', 1, 5], [3, 'vm', 1, 'a', 1, 5, -1, [['sent']]], [2, 'vm', 1, 'a', 1, 5, -1, []]]) {
		it(`are not read from ${JSON.stringify(message)}`, () => {
			expect(gateway.peers.toUpdate(message)).to.equal(undefined);
		});
	}
});
