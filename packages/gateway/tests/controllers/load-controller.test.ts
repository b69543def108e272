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
	readonly tick: (afterMs: number) => void;
} {
	const sent: Sent[] = [];
	let now = 1000;
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
		clock: {monotonicNow: () => now, suspendAwareNow: () => now, wallNow: () => now},
	});
	const tick = (afterMs: number): void => {
		now += afterMs;
		controller.tick();
	};

	return {
		controller, fleet, sent, tick,
	};
}

describe('LoadController', () => {
	it('tells all VMs of a small fleet what is under way, and once that nothing is', () => {
		const {fleet, sent, tick} = createController(6);
		fleet.loads.addRequest('a', 'r1', 500);
		tick(200);
		fleet.loads.removeRequest('a', 'r1');
		tick(100);
		tick(100);
		tick(200);
		expect(sent.map(each => each.addresses.length)).to.deep.equal([6, 6]);
		expect(sent[0]!.digest.endpoints).to.deep.equal([{
			endpoint: 'a', active: 1, prefillTokens: 500, sinceLastReceivedMs: undefined,
		}]);
		expect(sent[1]!.digest.endpoints).to.deep.equal([]);
		expect(sent[1]!.digest.sequence).to.be.greaterThan(sent[0]!.digest.sequence);
	});

	// Pattern: with each VM telling all others, the digests of 420 VMs would bring each of them thousands of datagrams a second.
	it('tells six VMs of a large fleet at a time, and all in turn', () => {
		const {fleet, sent, tick} = createController(57);
		fleet.loads.addRequest('a', 'r1', 500);
		for (let count = 0; count < 10; count++) {
			tick(200);
		}

		expect(sent.every(each => each.addresses.length === 6)).to.equal(true);
		expect(new Set(sent.flatMap(each => each.addresses)).size).to.equal(57);
	});

	it('takes signs from digests of others and notes its own', () => {
		const {controller, fleet} = createController(2);
		const sign: core.fleet.CacheObservation = {type: core.fleet.CacheObservationType.Sent, key: 'n/p', endpoint: 'a'};
		controller.takeDigest({
			vm: 'other', sequence: 1, endpoints: [], cacheObservations: [sign],
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
				endpoint: 'a', active: 2, prefillTokens: 300, sinceLastReceivedMs: 12,
			},
			{
				endpoint: 'b', active: 1, prefillTokens: 0, sinceLastReceivedMs: undefined,
			},
		],
		cacheObservations: [{type: core.fleet.CacheObservationType.Stored, key: 'n/p', endpoint: ''}],
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
