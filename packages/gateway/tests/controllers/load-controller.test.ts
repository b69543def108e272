import {setTimeout as sleep} from 'node:timers/promises';
import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

type SentDigest = {
	readonly digest: core.fleet.LoadDigest;
	readonly addresses: readonly string[];
};

function createController(peers: number): {
	readonly controller: gateway.controllers.LoadController;
	readonly fleet: gateway.placement.FleetState;
	readonly sent: SentDigest[];
	readonly tick: (afterMs: number) => void;
} {
	const sent: SentDigest[] = [];
	let now = 1000;
	const fleet = new gateway.placement.FleetState();
	const controller = new gateway.controllers.LoadController({
		vm: 'own',
		process: 77,
		fleet,
		pauses: {hasPauses: () => false, takeDigest: () => [], applyDigest: () => undefined},
		quarantine: new gateway.controllers.QuarantineController({
			clock: {suspendAwareNow: () => 0}, log: {write: () => undefined}, onPendingEvidence: () => undefined, onQuarantined: () => undefined,
		}),
		coordination: {listPeerAddresses: () => Array.from({length: peers}, (_, index) => `10.0.0.${index}:1`)},
		exchange: {
			send(digest, addresses) {
				sent.push({digest, addresses});
			},
		},
		clock: {monotonicNow: () => now, suspendAwareNow: () => now, wallNow: () => now},
		log: {write: () => undefined},
		maxSharedVersionAgeMs: 12_000,
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
	// Guards against a process that ends with an error while it shuts down, since a notice of an endpoint arrives after its socket was closed.
	it('sends nothing after it was stopped', async () => {
		const {controller, sent, tick} = createController(2);
		controller.stop();
		controller.publishNotices();
		tick(1000);
		await new Promise(resolve => {
			setTimeout(resolve, 50);
		});
		expect(sent).to.deep.equal([]);
	});

	it('sends its load to all VMs of a small fleet, and one more digest when it becomes idle', () => {
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
		expect(sent.map(({digest}) => digest.process)).to.deep.equal([77, 77]);
	});

	// Guards against a VM that starts during a roll-out and can only assume the age of the newest version, although others know it.
	it('sends the ages of the versions that it knows while they are young, also when it is idle', () => {
		const {fleet, sent, tick} = createController(6);
		fleet.targets.observe('m', 2, {after: -Infinity, assumed: 0, before: 1000});
		tick(200);
		fleet.targets.observe('m', 3, {
			after: 100, assumed: 1200, before: 1200, isPrompt: true,
		});
		tick(200);
		tick(200);
		tick(11_400);
		tick(200);
		tick(200);
		expect(sent.map(({digest}) => digest.versionAges)).to.deep.equal([
			[],
			[{model: 'm', version: 3, ageMs: 200}],
			[{model: 'm', version: 3, ageMs: 400}],
			[{model: 'm', version: 3, ageMs: 11_800}],
			[],
		]);
	});

	it('counts a version that it read late from the age that another VM sent', () => {
		const {controller, fleet} = createController(6);
		fleet.targets.observe('m', 2, {after: -Infinity, assumed: -2000, before: 1000});
		controller.applyDigest({
			vm: 'other', sequence: 1, endpoints: [], cacheObservations: [], versionAges: [{model: 'm', version: 2, ageMs: 4500}],
		});
		expect(fleet.targets.outdatedForMs('m', 1, 1000)).to.equal(4500);
	});

	it('reports the endpoints that told this VM that they are leaving while they are listed, and none that others reported', () => {
		const {controller, fleet, sent, tick} = createController(6);
		const reported = {id: 'b', bornAt: 1};
		fleet.leaving.recordNotice({id: 'a', bornAt: 1}, 0);
		fleet.leaving.recordReport(reported, 0);
		controller.tick();
		fleet.leaving.retain([reported], 0);
		fleet.loads.addRequest('a', 'r1', 500);
		tick(200);
		expect(sent.map(each => each.digest.leavingEndpoints)).to.deep.equal([[{id: 'a', bornAt: 1}], []]);
	});

	it('names at most eight leaving endpoints in a digest, the latest first', () => {
		const {controller, fleet, sent} = createController(6);
		for (let index = 0; index < 20; index++) {
			fleet.leaving.recordNotice({id: `e-${index}`, bornAt: 1}, index);
		}

		controller.tick();
		expect(sent[0]!.digest.leavingEndpoints!.map(({id}) => id)).to.deep.equal([19, 18, 17, 16, 15, 14, 13, 12].map(index => `e-${index}`));
	});

	it('applies reports of other VMs to the listed incarnations only', () => {
		const {controller, fleet} = createController(6);
		const entry: core.fleet.EndpointEntry = {
			id: 'a', bornAt: 2, pool: 'p', address: '10.0.0.9:1', dataCentre: 'dc', slots: 1, state: core.fleet.EndpointState.Ready, weights: new Map(),
		};
		fleet.registry.put(entry, 0);
		controller.applyDigest({
			vm: 'other', sequence: 1, endpoints: [], cacheObservations: [], leavingEndpoints: [{id: 'a', bornAt: 1}, {id: 'b', bornAt: 1}],
		});
		expect(fleet.leaving.size).to.equal(0);
		controller.applyDigest({
			vm: 'other', sequence: 2, endpoints: [], cacheObservations: [], leavingEndpoints: [entry],
		});
		expect(fleet.leaving.availabilityOf(entry, 1000)).to.equal(core.fleet.EndpointAvailability.ReportedLeaving);
		expect(fleet.leaving.isLeaving(entry)).to.equal(false);
	});

	// If each VM sent its digests to all others, each of 420 VMs would receive thousands of datagrams per second.
	it('sends each digest to six VMs of a large fleet, and reaches all VMs in turn', () => {
		const {fleet, sent, tick} = createController(57);
		fleet.loads.addRequest('a', 'r1', 500);
		for (let count = 0; count < 10; count++) {
			tick(200);
		}

		expect(sent.every(each => each.addresses.length === 6)).to.equal(true);
		expect(new Set(sent.flatMap(each => each.addresses)).size).to.equal(57);
	});

	it('applies the cache observations of other VMs and its own', () => {
		const {controller, fleet} = createController(2);
		const observation: core.fleet.CacheObservation = {type: core.fleet.CacheObservationType.Sent, key: 'n/p', endpoint: 'a'};
		controller.applyDigest({
			vm: 'other', sequence: 1, endpoints: [], cacheObservations: [observation],
		});
		controller.publishObservations([{...observation, endpoint: 'b'}]);
		controller.stop();
		expect(['a', 'b', 'c'].map(endpoint => fleet.parts.isCached('n/p', endpoint, 1000))).to.deep.equal([true, true, false]);
	});

	it('sends nothing after it was stopped, but still applies observations', async () => {
		const {controller, fleet, sent, tick} = createController(2);
		fleet.loads.addRequest('a', 'r1', 500);
		controller.stop();
		tick(200);
		controller.publishObservations([{type: core.fleet.CacheObservationType.Sent, key: 'n/p', endpoint: 'a'}]);
		await sleep(50);
		expect(sent).to.deep.equal([]);
		expect(fleet.parts.isCached('n/p', 'a', 1000)).to.equal(true);
	});
});

describe('digest codec', () => {
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

	it('decodes an encoded digest to the same digest', () => {
		expect(gateway.peers.decodeDigest(gateway.peers.encodeDigest(digest))).to.deep.equal(digest);
	});

	const invalid: ReadonlyArray<readonly [string, Uint8Array]> = [
		['bytes that are not CBOR', Uint8Array.of(255, 255, 255)],
		['a truncated digest', gateway.peers.encodeDigest(digest).subarray(0, 20)],
		['an empty message', new Uint8Array()],
	];
	for (const [name, bytes] of invalid) {
		it(`decodes ${name} as undefined`, () => {
			expect(gateway.peers.decodeDigest(bytes)).to.equal(undefined);
		});
	}
});
