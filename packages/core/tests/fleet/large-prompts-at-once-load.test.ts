import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;

type Scenario = {
	readonly vms: number;
	readonly engines: number;
	/** Whether VMs send updates of single endpoints besides digests in turn. */
	readonly sendsUpdates: boolean;
};

type Engine = {
	readonly candidate: core.fleet.Candidate;
	/** When the prompts that were sent so far are computed. */
	freeAt: number;
};

type Vm = {
	readonly name: string;
	readonly loads: core.fleet.EndpointLoads;
	readonly peers: core.fleet.PeerLoads;
	readonly parts: core.fleet.PartLocations;
	sequence: number;
};

const lengthMs = 20_000;
const promptTokens = 8000;
const costs = {...core.fleet.defaultPlacementCosts, homeDiscountMs: 0};
const prefillMs = promptTokens / costs.prefillTokensPerMs;
/** Part of the time in which the engines compute prompts. */
const load = 0.6;
const digestMs = 200;
const peersPerDigest = 6;

/** Plays VMs that send prompts without shared parts to the engine that each of them believes to be the best. @returns The time for which prompts wait at engines, on average and at the 95th percentile. */
function play({vms: vmCount, engines: engineCount, sendsUpdates}: Scenario): {readonly meanMs: number; readonly p95Ms: number} {
	const random = new core.util.SeededRandom(3);
	const engines = Array.from({length: engineCount}, (_, index): Engine => ({candidate: support.createCandidate(`e-${index}`), freeAt: 0}));
	const vms = Array.from({length: vmCount}, (_, index): Vm => ({
		name: `vm-${index}`, loads: new core.fleet.EndpointLoads(), peers: new core.fleet.PeerLoads(), parts: new core.fleet.PartLocations(), sequence: 0,
	}));
	const names = new Set(vms.map(({name}) => name));
	for (const vm of vms) {
		vm.peers.retain(names);
	}

	const describe = (vm: Vm, endpoint: string): core.fleet.EndpointDigest => ({
		endpoint, active: vm.loads.countOwnActive(endpoint), prefillTokens: vm.loads.countPrefillTokens(endpoint),
	});
	const publish = (vm: Vm, endpoint: string, now: number): void => {
		vm.sequence += 1;
		for (const other of sendsUpdates ? vms : []) {
			if (other !== vm) {
				other.peers.applyUpdate({
					vm: vm.name, sequence: vm.sequence, load: describe(vm, endpoint), cacheObservations: [],
				}, now);
			}
		}
	};

	const ends: Array<{readonly at: number; readonly vm: Vm; readonly endpoint: string; readonly id: string}> = [];
	const waits: number[] = [];
	const sendPrompt = (now: number, id: string): void => {
		const vm = vms[random.int(vmCount)]!;
		// Engines that seem equal are taken in another order by each VM.
		const candidates = random.shuffle(engines).map(({candidate}) => candidate);
		const requirements = {dataCentre: candidates[0]!.entry.dataCentre, parts: [{id, tokens: promptTokens}], sharedParts: 0};
		const view = {
			...vm, health: new core.fleet.EndpointHealth(), homes: new core.placement.HomeRanker(), costs,
		};
		const endpoint = core.fleet.chooseEndpoint(candidates, requirements, view, now)!.candidate.entry.id;
		const engine = engines.find(({candidate}) => candidate.entry.id === endpoint)!;
		waits.push(Math.max(0, engine.freeAt - now));
		engine.freeAt = Math.max(now, engine.freeAt) + prefillMs;
		vm.loads.addRequest(endpoint, id, promptTokens);
		publish(vm, endpoint, now);
		ends.push({
			at: engine.freeAt, vm, endpoint, id,
		});
	};

	const promptsPerMs = load * engineCount / prefillMs;
	for (let now = 0; now < lengthMs; now++) {
		for (const end of ends.filter(({at}) => at <= now)) {
			ends.splice(ends.indexOf(end), 1);
			end.vm.loads.endPrefill(end.endpoint, end.id);
			end.vm.loads.removeRequest(end.endpoint, end.id);
			publish(end.vm, end.endpoint, now);
		}

		for (const [index, vm] of vms.entries()) {
			if (now % digestMs === index % digestMs) {
				vm.sequence += 1;
				const round = Math.floor(now / digestMs) * peersPerDigest;
				for (let offset = 1; offset <= Math.min(peersPerDigest, vmCount - 1); offset++) {
					vms[(index + ((round + offset) % vmCount)) % vmCount]!.peers.applyDigest({
						vm: vm.name, sequence: vm.sequence, endpoints: vm.loads.listBusyEndpoints().map(endpoint => describe(vm, endpoint)), cacheObservations: [],
					}, now);
				}
			}
		}

		const arrivals = Math.floor(promptsPerMs) + (random.int(1_000_000) < (promptsPerMs % 1) * 1_000_000 ? 1 : 0);
		for (let count = 0; count < arrivals; count++) {
			sendPrompt(now, `p-${now}-${count}`);
		}
	}

	waits.sort((a, b) => a - b);
	let sum = 0;
	for (const wait of waits) {
		sum += wait;
	}

	return {meanMs: sum / waits.length, p95Ms: waits[Math.floor(waits.length * 0.95)]!};
}

// Several VMs sent their prompts to one engine at the same moment, since each heard of the others' prompts seconds later.
describe('large prompts that many VMs send at once', () => {
	for (const [vms, engines] of [[66, 50], [83, 63], [195, 65]] as const) {
		it(`don't wait behind one another while other engines are idle, with updates of single endpoints: ${vms} VMs, ${engines} engines`, () => {
			const before = play({vms, engines, sendsUpdates: false});
			const after = play({vms, engines, sendsUpdates: true});
			expect(after.meanMs, 'mean').to.be.at.most(prefillMs / 20);
			expect(after.p95Ms, 'p95').to.be.at.most(prefillMs / 4);
			expect(before.meanMs, 'with digests only').to.be.at.least(prefillMs / 2);
		}).timeout(60_000);
	}
});
