import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as undici from 'undici';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as memoryPeers from './fakes/memory-peers.js';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const metrics = {increment() {}, gauge() {}, timing() {}}; // eslint-disable-line @typescript-eslint/no-empty-function
const keys = ['00000000000000a1', '00000000000000a2'];

/** HTTP server that only publishes the cache events of an engine. */
class FakeEngine {
	readonly lastEventIds: Array<string | undefined> = [];
	/** Number of further connections on which nothing is sent. */
	silentConnections = 0;
	readonly #server = http.createServer((req, res) => {
		this.lastEventIds.push(req.headers['last-event-id'] as string | undefined);
		res.writeHead(200, {'content-type': 'text/event-stream'});
		if (this.silentConnections > 0) {
			this.silentConnections -= 1;
			res.flushHeaders();
			return;
		}

		this.#write(res, Number(this.lastEventIds.at(-1) ?? 0) + 1);
	});

	async start(): Promise<number> {
		await new Promise<void>(resolve => {
			this.#server.listen(0, '127.0.0.1', resolve);
		});
		return (this.#server.address() as net.AddressInfo).port;
	}

	stop(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Sends one event per connection, the one after the last that the follower has, and then nothing more. */
	#write(res: http.ServerResponse, sequence: number): void {
		const event: wire.endpoint.CacheEvent = {
			incarnation: 'i', sequence, type: wire.endpoint.CacheEventType.Stored, key: keys[sequence - 1] ?? 'ff',
		};
		res.write(`id: ${sequence}\ndata: ${JSON.stringify(event)}\n\n`);
	}
}

function createPlacementState(): core.placement.PlacementState {
	const state = new core.placement.PlacementState({
		policy: core.placement.createPlacementPolicy(core.placement.PlacementPolicyName.CostBased, {seed: 1}),
	});
	state.cacheIndex.observeIncarnation('e', 'i');
	return state;
}

function createManifest(port: number): core.model.Manifest {
	return {
		generation: 1,
		models: [],
		adapters: [],
		accounts: [],
		kinds: [],
		services: [{
			id: 's', type: core.model.ServiceType.Engine, models: [], rules: [], defaultKind: 'k', maxConcurrentLoads: 1,
		}],
		endpoints: [{
			id: 'e', service: 's', host: '127.0.0.1', port, dataCentre: 'd', checksFencing: true,
			role: core.model.EngineRole.Mixed, capacity: 1, leaving: false,
		}],
		recalled: [],
	};
}

async function until(condition: () => boolean): Promise<void> {
	while (!condition()) {
		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

describe('CacheEventsController', () => {
	const engine = new FakeEngine();
	const agent = new undici.Agent();
	let port = 0;

	before(async () => {
		port = await engine.start();
	});

	after(async () => {
		engine.stop();
		await agent.destroy();
	});

	function create(vm: string, state: core.placement.PlacementState, links: memoryPeers.MemoryLinks): router.controllers.CacheEventsController {
		return new router.controllers.CacheEventsController({
			vm,
			state,
			liveMembers: () => ['a', 'b'],
			manifest: () => createManifest(port),
			dispatcher: () => agent,
			peers: links.create(vm),
			clock: {now: () => 1},
			metrics,
			followPlan: {maxStreams: 1, followers: 1},
			digestIntervalMs: 20,
			progressTimeoutMs: 50,
			reconnectDelayMs: 5,
		});
	}

	for (const [silentConnections, suffix] of [[0, ''], [1, ', also after a connection without an event']] as const) {
		it(`follows an engine, reconnects when the connection is silent, and sends digests to routers that do not follow the engine${suffix}`, async () => {
			engine.lastEventIds.length = 0;
			engine.silentConnections = silentConnections;
			const links = new memoryPeers.MemoryLinks();
			const states = [createPlacementState(), createPlacementState()];
			const controllers = ['a', 'b'].map((vm, index) => create(vm, states[index]!, links));
			for (const controller of controllers) {
				await controller.start(); // eslint-disable-line no-await-in-loop
			}

			const follower = controllers.findIndex(controller => controller.followedEngines.length === 1);
			const {cacheIndex, hotPrefixes} = states[follower]!;
			expect(controllers[1 - follower]!.followedEngines).to.deep.equal([]);
			await until(() => keys.every(key => cacheIndex.holds('e', key)));
			// A connection that is replaced before its event has arrived is followed by one with the same ID.
			expect([...new Set(engine.lastEventIds)].slice(0, 2)).to.deep.equal([undefined, '1']);
			expect(engine.lastEventIds.length).to.be.at.least(2 + silentConnections);

			hotPrefixes.record(['h'], 1);
			hotPrefixes.record(['h'], 1);
			hotPrefixes.record(['h'], 1);
			hotPrefixes.setPieceKeys(['h'], [keys[0]!]);
			await until(() => states[1 - follower]!.cacheIndex.holds('e', keys[0]!));
			expect(states[1 - follower]!.cacheIndex.holds('e', keys[1]!)).to.equal(false);
			for (const controller of controllers) {
				await controller.stop(); // eslint-disable-line no-await-in-loop
			}
		});
	}

	it('unpacks the same keys that were packed', () => {
		expect(wire.peer.unpackKeys(wire.peer.packKeys(keys))).to.deep.equal(keys);
	});
});
