import * as chai from 'chai';
import type * as wire from '@bluebellmast/wire';
import * as core from '@bluebellmast/core';
import * as memoryPeers from './fakes/memory-peers.js';
import * as router from '@bluebellmast/router';

const names = ['a', 'b', 'c', 'd'];

function createManifest(): core.model.Manifest {
	return {
		generation: 1, models: [], adapters: [], accounts: [], kinds: [], services: [], recalled: [],
		endpoints: ['e0', 'e1', 'e2'].map((id, port) => ({
			id, service: 's', host: `10.0.1.${port}`, port, dataCentre: 'dc', checksFencing: false,
			role: core.model.EngineRole.Mixed, capacity: 4, leaving: false,
		})),
	};
}

describe('EndpointWatchController', () => {
	let reads: string[];
	let leaving: Set<string>;
	let sequence: number;
	const clock = {nowMs: 1_000_000, now: () => clock.nowMs};

	beforeEach(() => {
		reads = [];
		leaving = new Set();
		sequence = 0;
	});

	function createRouters(readAllUpTo: number, leavingHosts: ReadonlySet<string> = new Set()) {
		const links = new memoryPeers.MemoryLinks();
		return names.map(vm => new router.controllers.EndpointWatchController({
			vm, incarnation: `${vm}-1`, peers: links.create(vm), clock, manifest: createManifest,
			liveMembers: () => names,
			async readLoad(endpoint): Promise<wire.endpoint.LoadReport> {
				reads.push(`${vm} ${endpoint.id}`);
				sequence += 1;
				return {
					incarnation: `${endpoint.id}-1`, sequence, running: 1, queued: 0, queuedTokens: 0, cachedTokens: 0,
					cacheLimitTokens: 0, weights: [], leaving: leaving.has(endpoint.id),
				};
			},
			leavingHosts: () => leavingHosts,
			pollsPerDigest: 1,
			limits: {maxRoutersReadingAll: readAllUpTo, readersPerEndpoint: 2},
		}));
	}

	async function tickAll(routers: readonly router.controllers.EndpointWatchController[]) {
		clock.nowMs += 250;
		for (const each of routers) {
			await each.tick(); // eslint-disable-line no-await-in-loop
		}
	}

	it('reads each endpoint from each router in a small fleet', async () => {
		const routers = createRouters(4);
		await tickAll(routers);
		chai.expect(reads).to.have.length(12);
		chai.expect(routers.every(each => each.endpointStates().every(state => state.reachable))).to.equal(true);
	});

	it('reads each endpoint from two routers in a large fleet, and all routers learn its load', async () => {
		const routers = createRouters(2);
		await tickAll(routers);
		await tickAll(routers);
		chai.expect(reads).to.have.length(12);
		chai.expect(new Set(reads).size).to.equal(6);
		chai.expect(routers.every(each => each.endpointStates().every(state => state.reachable))).to.equal(true);
	});

	it('notifies all routers immediately when one reads that an endpoint is leaving', async () => {
		const routers = createRouters(4);
		await tickAll(routers);
		leaving.add('e1');
		await routers[0]!.tick();
		for (const each of routers) {
			chai.expect(each.endpointStates().map(state => state.leaving)).to.deep.equal([false, true, false]);
		}
	});

	it('marks endpoints on VMs that the platform is about to remove as leaving', async () => {
		const routers = createRouters(4, new Set(['10.0.1.2']));
		chai.expect(routers[0]!.endpointStates().map(state => state.leaving)).to.deep.equal([false, false, true]);
	});

	it('forgets an endpoint that leaves the manifest, and reports its state again when it returns', async () => {
		let manifest = createManifest();
		const changed: string[] = [];
		const controller = new router.controllers.EndpointWatchController({
			vm: 'a', incarnation: 'a-1', peers: new memoryPeers.MemoryLinks().create('a'), clock, manifest: () => manifest,
			liveMembers: () => ['a'],
			readLoad: async () => undefined,
			onStateChange(state) {
				changed.push(state.endpoint);
			},
		});
		for (const listed of [['e0', 'e1', 'e2'], ['e0', 'e2'], ['e0', 'e1', 'e2']]) {
			manifest = {...manifest, endpoints: createManifest().endpoints.filter(({id}) => listed.includes(id))};
			await controller.tick(); // eslint-disable-line no-await-in-loop
		}

		chai.expect(changed).to.deep.equal(['e0', 'e1', 'e2', 'e1']);
	});

	it('broadcasts draining endpoints, and clears them when the leader sends no more notices', async () => {
		const routers = createRouters(2);
		routers[0]!.announceDraining(5, ['e0']);
		chai.expect(routers.map(each => each.endpointStates()[0]!.draining)).to.deep.equal([true, true, true, true]);
		clock.nowMs += core.endpoints.defaultEndpointTableOptions.noticeTtlMs + 1;
		await tickAll(routers);
		chai.expect(routers.map(each => each.endpointStates()[0]!.draining)).to.deep.equal([false, false, false, false]);
	});
});
