import * as cbor from 'cbor-x';
import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

function roundTrip(message: gateway.peers.QuotaMessage): gateway.peers.QuotaMessage | undefined {
	return gateway.peers.toQuotaMessage(gateway.peers.decodeDatagram(gateway.peers.encodeQuotaMessage(message)));
}

const call: core.quota.QuotaCall = {
	vm: 'vm-1',
	basedOn: {incarnation: 'vm-2/17', at: 1234.5},
	loan: {partitions: [0, 15], share: 1 / 66, durationMs: 1100},
	asks: [{id: 7, account: 'club', units: 17_020}],
	returned: [{account: 'club', units: 380}],
};
const reply: core.quota.QuotaReply = {
	vm: 'vm-2',
	clock: {incarnation: 'vm-2/17', at: 1240},
	takesLoans: true,
	decisions: [
		{
			id: 7, decision: {
				outcome: core.quota.QuotaOutcome.Exceeded, retryAfterMs: 120, availableUnits: 3, heldShare: 0.5, usage: 1.5,
			},
		},
		{
			id: 8, decision: {
				outcome: core.quota.QuotaOutcome.TooLarge, retryAfterMs: Infinity, availableUnits: 0, heldShare: 1, usage: 0,
			},
		},
	],
};

describe('messages on quotas', () => {
	it('are decoded as they were encoded', () => {
		expect(roundTrip({type: core.quota.QuotaMessageType.Call, call})).to.deep.equal({type: core.quota.QuotaMessageType.Call, call});
		expect(roundTrip({type: core.quota.QuotaMessageType.Reply, reply})).to.deep.equal({type: core.quota.QuotaMessageType.Reply, reply});
		const empty = {vm: 'vm-1', asks: [], returned: []};
		expect(roundTrip({type: core.quota.QuotaMessageType.Call, call: empty})).to.deep.equal({type: core.quota.QuotaMessageType.Call, call: empty});
	});

	it('are distinguished from digests', () => {
		const digest: core.fleet.LoadDigest = {
			vm: 'vm-1', sequence: 1, endpoints: [], cacheObservations: [],
		};
		expect(gateway.peers.toQuotaMessage(gateway.peers.decodeDatagram(gateway.peers.encodeDigest(digest)))).to.equal(undefined);
		expect(gateway.peers.toDigest(gateway.peers.decodeDatagram(gateway.peers.encodeQuotaMessage({type: core.quota.QuotaMessageType.Call, call})))).to.equal(undefined);
	});

	for (const [name, loan] of [
		['share above 1', [[1], 2, 1000]],
		['share of 0', [[1], 0, 1000]],
		['unknown partition', [[32], 0.5, 1000]],
		['endless duration', [[1], 0.5, Infinity]],
		['missing duration', [[1], 0.5]],
		['no list', ['x', 0.5, 1000]],
	] as const) {
		it(`skip an invalid loan: ${name}`, () => {
			const message = gateway.peers.toQuotaMessage(cbor.decode(cbor.encode([core.quota.QuotaMessageType.Call, 'vm-1', ['vm-2/17', 1], loan, [[1, 'club', 5]], []])));
			expect(message).to.deep.equal({
				type: core.quota.QuotaMessageType.Call, call: {
					vm: 'vm-1', basedOn: {incarnation: 'vm-2/17', at: 1}, asks: [{id: 1, account: 'club', units: 5}], returned: [],
				},
			});
		});
	}

	for (const message of [undefined, 5, 'x', [], [1], [3, 'vm'], [1, 'vm', undefined, undefined, [['x', 'club', 5]], []], [2, 'vm', undefined, true, []], [2, 'vm', ['i', 1], 1, []]]) {
		it(`are not read from ${JSON.stringify(message)}`, () => {
			expect(gateway.peers.toQuotaMessage(message)).to.equal(undefined);
		});
	}

	it('skip amounts that are no numbers of units', () => {
		const message = gateway.peers.toQuotaMessage([core.quota.QuotaMessageType.Call, 'vm-1', undefined, undefined, [[1, 'club', -5], [2, 'club', Number.NaN]], [['club', -1]]]);
		expect(message).to.deep.equal({type: core.quota.QuotaMessageType.Call, call: {vm: 'vm-1', asks: [], returned: []}});
	});
});
