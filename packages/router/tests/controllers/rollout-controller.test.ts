import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as leaseKv from './fakes/lease-kv.js';
import * as router from '@bluebellmast/router';

const {model} = core;
const times = {ttlMs: 8000, marginMs: 3000, maxOrderDurationMs: 2000};

function createManifest(versions: readonly string[], recalled: readonly string[]): core.model.Manifest {
	return {
		generation: 1,
		models: [{
			id: 'm', service: 's', versions, defaultKind: 'k', supportsForcedPrefix: true,
		}],
		adapters: [], accounts: [], kinds: [],
		services: [{
			id: 's', type: model.ServiceType.Engine, models: ['m'], rules: [], defaultKind: 'k', maxConcurrentLoads: 2,
		}],
		endpoints: ['e0', 'e1', 'e2'].map((id, port) => ({
			id, service: 's', host: '10.0.0.1', port, dataCentre: 'dc', checksFencing: false,
			role: model.EngineRole.Mixed, capacity: 4, leaving: false,
		})),
		recalled,
	};
}

/** Engines that execute every order, whatever its fencing token. */
class FakeEngines implements router.controllers.OrderClient {
	readonly weights = new Map(['e0', 'e1', 'e2'].map(id => [id, new Set(['m@1'])]));
	readonly orders: wire.endpoint.EngineOrder[] = [];

	async readHoldings(endpoint: core.model.Endpoint): Promise<wire.endpoint.EngineHoldings> {
		return {
			incarnation: 'x', role: model.EngineRole.Mixed, weights: [...this.weights.get(endpoint.id)!], loading: [], fencing: 0,
		};
	}

	async sendOrder(endpoint: core.model.Endpoint, order: wire.endpoint.EngineOrder): Promise<wire.endpoint.EngineOrderResponse> {
		this.orders.push(order);
		const engineWeights = this.weights.get(endpoint.id)!;
		if (order.type === wire.endpoint.EngineOrderType.Load) {
			engineWeights.add(order.weights!);
		} else {
			engineWeights.delete(order.weights!);
		}

		return {orderId: order.orderId, result: wire.endpoint.EngineOrderResult.Done};
	}
}

describe('LeaderController and RolloutController', () => {
	let store: leaseKv.LeaseStore;
	let engines: FakeEngines;
	let manifest: core.model.Manifest;

	beforeEach(() => {
		store = new leaseKv.LeaseStore();
		engines = new FakeEngines();
		manifest = createManifest(['1'], []);
	});

	function createRouter(vm: string) {
		const kv = new leaseKv.LeaseKvClient(store);
		const leader = new router.controllers.LeaderController({
			vm, incarnation: `${vm}-1`, kv, clock: store, liveMembers: () => ['a', 'b'], leaseOptions: times,
		});
		const draining: string[][] = [];
		const rollout = new router.controllers.RolloutController({
			client: engines, clock: store, manifest: () => manifest,
			fencing: () => leader.fencing(),
			countRunning: () => 0,
			onDraining(_, endpoints) {
				draining.push([...endpoints]);
			},
		});
		const tick = async () => {
			leader.tick();
			await leader.whenIdle();
			await rollout.tick();
		};

		return {
			kv, leader, rollout, draining, tick,
		};
	}

	async function run(routers: ReadonlyArray<{readonly tick: () => Promise<void>}>, rounds: number, stepMs = 1000) {
		for (let i = 0; i < rounds; i++) {
			store.nowMs += stepMs;
			for (const each of routers) {
				await each.tick(); // eslint-disable-line no-await-in-loop
			}
		}
	}

	it('has one leader even if the response to the acquisition of the lease is lost', async () => {
		const [a, b] = [createRouter('a'), createRouter('b')];
		store.losesNextResponse = true;
		await run([a, b], 4);
		const leading = [a, b].filter(each => each.leader.fencing() !== undefined);
		chai.expect(leading).to.deep.equal([a]);
		await leading[0]!.leader.stop();
		await run([a, b].filter(each => each !== leading[0]), 4);
		chai.expect([a, b].filter(each => each.leader.fencing() !== undefined)).to.have.length(1);
	});

	it('sends no orders from the margin before the lease ends while the key-value service is down, and resumes afterwards', async () => {
		const a = createRouter('a');
		await run([a], 4);
		chai.expect(a.leader.fencing()).to.be.a('number');
		a.kv.down = true;
		await run([a], 6);
		chai.expect(a.leader.fencing()).to.equal(undefined);
		chai.expect(store.leases.size).to.equal(1);
		manifest = createManifest(['1'], ['model:m@1']);
		await run([a], 6);
		chai.expect(engines.orders).to.have.length(0);
		a.kv.down = false;
		await run([a], 4);
		chai.expect(engines.orders).to.have.length(3);
	});

	it('drains engines before it rolls them forward, and the next leader continues', async () => {
		const [a, b] = [createRouter('a'), createRouter('b')];
		await run([a], 4);
		manifest = createManifest(['2', '1'], []);
		await run([a], 3);
		const changed = () => [...engines.weights.values()].filter(weights => weights.has('m@2')).length;
		chai.expect(changed()).to.equal(1);
		chai.expect(a.draining.at(-1)).to.have.length(1);
		await run([b], 30);
		chai.expect([...engines.weights.values()].every(weights => weights.has('m@2'))).to.equal(true);
		chai.expect(b.draining.at(-1)).to.deep.equal([]);
	});

	it('reverts late orders of a paused leader, which finds its lease expired', async () => {
		const [a, b] = [createRouter('a'), createRouter('b')];
		await run([a], 4);
		chai.expect(a.leader.fencing()).to.be.a('number');
		manifest = createManifest(['2', '1'], ['model:m@2']);
		await run([b], 14);
		chai.expect(b.leader.fencing()).to.be.a('number');
		chai.expect(a.leader.fencing()).to.equal(undefined);
		await a.rollout.tick();
		engines.weights.get('e1')!.add('m@2');
		await run([b], 1);
		chai.expect([...engines.weights.get('e1')!]).to.deep.equal(['m@1']);
	});
});
