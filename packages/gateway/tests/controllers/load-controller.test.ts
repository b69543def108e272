import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

type Sent = {
	readonly digest: core.fleet.LoadDigest;
	readonly addresses: readonly string[];
};

function createController(peers: number): {
	readonly controller: gateway.controllers.LoadController;
	readonly fleet: gateway.placement.FleetState;
	readonly sent: Sent[];
} {
	const sent: Sent[] = [];
	const fleet = new gateway.placement.FleetState();
	const controller = new gateway.controllers.LoadController({
		vm: 'own',
		fleet,
		duties: {peerAddresses: () => Array.from({length: peers}, (_, index) => `10.0.0.${index}:1`)},
		exchange: {
			send(digest, addresses) {
				sent.push({digest, addresses});
			},
		},
		clock: {steadyNow: () => 1000, wallSafeNow: () => 1000, wallNow: () => 1000},
	});
	return {controller, fleet, sent};
}

describe('LoadController', () => {
	it('tells all VMs of a small fleet what is under way, and once that nothing is', () => {
		const {controller, fleet, sent} = createController(6);
		fleet.loads.begin('a', 'r1', 500);
		controller.tick();
		fleet.loads.end('a', 'r1');
		controller.tick();
		controller.tick();
		expect(sent.map(each => each.addresses.length)).to.deep.equal([6, 6]);
		expect(sent[0]!.digest.endpoints).to.deep.equal([{
			endpoint: 'a', active: 1, prefillTokens: 500, heardAgoMs: undefined,
		}]);
		expect(sent[1]!.digest.endpoints).to.deep.equal([]);
		expect(sent[1]!.digest.sequence).to.be.greaterThan(sent[0]!.digest.sequence);
	});

	// Pattern: with each VM telling all others, the digests of 420 VMs would take each of them 4,190 datagrams a tenth of a second.
	it('tells twelve VMs of a large fleet at a time, and all in turn', () => {
		const {controller, fleet, sent} = createController(57);
		fleet.loads.begin('a', 'r1', 500);
		for (let count = 0; count < 5; count++) {
			controller.tick();
		}

		expect(sent.every(each => each.addresses.length === 12)).to.equal(true);
		expect(new Set(sent.flatMap(each => each.addresses)).size).to.equal(57);
	});

	it('takes signs from digests of others and notes its own', () => {
		const {controller, fleet} = createController(2);
		const sign: core.fleet.CacheSign = {type: core.fleet.CacheSignType.Sent, key: 'n/p', endpoint: 'a'};
		controller.takeDigest({
			vm: 'other', sequence: 1, endpoints: [], signs: [sign],
		});
		controller.noteSigns([{...sign, endpoint: 'b'}]);
		controller.stop();
		expect(['a', 'b', 'c'].map(endpoint => fleet.parts.isCached('n/p', endpoint, 1000))).to.deep.equal([true, true, false]);
	});
});

describe('digests', () => {
	const digest: core.fleet.LoadDigest = {
		vm: 'vm-1',
		sequence: 7,
		endpoints: [
			{
				endpoint: 'a', active: 2, prefillTokens: 300, heardAgoMs: 12,
			},
			{
				endpoint: 'b', active: 1, prefillTokens: 0, heardAgoMs: undefined,
			},
		],
		signs: [{type: core.fleet.CacheSignType.Stored, key: 'n/p', endpoint: ''}],
	};

	it('come back as they were sent', () => {
		expect(gateway.peers.decodeDigest(gateway.peers.encodeDigest(digest))).to.deep.equal(digest);
	});

	const invalid: ReadonlyArray<readonly [string, Uint8Array]> = [
		['no CBOR', Uint8Array.of(255, 255, 255)],
		['a cut one', gateway.peers.encodeDigest(digest).subarray(0, 20)],
		['nothing', new Uint8Array()],
	];
	for (const [name, bytes] of invalid) {
		it(`ignores ${name}`, () => {
			expect(gateway.peers.decodeDigest(bytes)).to.equal(undefined);
		});
	}
});
