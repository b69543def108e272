import * as undici from 'undici';
import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as standIns from '@bluebellmast/stand-ins';
import * as router from '@bluebellmast/router';

const host = '127.0.0.1';

async function until(condition: () => Promise<boolean>): Promise<void> {
	while (!await condition()) { // eslint-disable-line no-await-in-loop
		await standIns.util.sleep(20); // eslint-disable-line no-await-in-loop
	}
}

describe('LeaderController and RolloutController over HTTP', () => {
	const agent = new undici.Agent();
	const client = new router.controllers.HttpOrderClient({singleUse: () => agent});
	const kv = standIns.kv.createKv({});
	const engines = [true, false].map(checksFencing => standIns.engine.createEngine({
		weights: ['m@1'], loadMs: 50, checksFencing,
	}));
	const controllers: router.controller.Controller[] = [];
	let kvClient: clients.kv.EtcdClient;

	after(async () => {
		for (const each of controllers) {
			await each.stop(); // eslint-disable-line no-await-in-loop
		}

		await kvClient.close();
		await agent.destroy();
		await Promise.all([kv, ...engines].map(async each => each.stop()));
	});

	it('acquires the lease, rolls engines forward and unloads recalled weights', async () => {
		const {port} = await kv.start();
		kvClient = clients.kv.createEtcdClient({baseUrls: [`http://${host}:${port}`]});
		const addresses = await Promise.all(engines.map(async engine => engine.start()));
		const endpoints = addresses.map((address, index): core.model.Endpoint => ({
			id: `e${index}`, service: 's', host, port: address.port, dataCentre: 'dc', checksFencing: index === 0,
			role: core.model.EngineRole.Mixed, capacity: 4, leaving: false,
		}));
		let manifest: core.model.Manifest = {
			generation: 1, accounts: [], kinds: [], adapters: [], endpoints, recalled: [],
			models: [{
				id: 'm', service: 's', versions: ['2', '1'], defaultKind: 'k', supportsForcedPrefix: true,
			}],
			services: [{
				id: 's', type: core.model.ServiceType.Engine, models: ['m'], rules: [], defaultKind: 'k', maxConcurrentLoads: 1,
			}],
		};
		const clock = new router.clock.SystemClock();
		const leader = new router.controllers.LeaderController({
			vm: 'a', incarnation: 'a-1', kv: kvClient, clock, liveMembers: () => ['a'], intervalMs: 100,
			leaseOptions: {ttlMs: 4000, marginMs: 1500, maxOrderDurationMs: 100},
		});
		const rollout = new router.controllers.RolloutController({
			client, clock, manifest: () => manifest, fencing: () => leader.fencing(), countRunning: () => 0,
			onDraining() {}, // eslint-disable-line @typescript-eslint/no-empty-function
			periodMs: 50,
		});
		controllers.push(rollout, leader);
		await leader.start();
		await rollout.start();
		const holdings = async () => Promise.all(endpoints.map(async endpoint => client.readHoldings(endpoint)));
		const allHold = async (test: (weights: readonly string[]) => boolean) => {
			const all = await holdings();
			return all.every(engine => engine !== undefined && test(engine.weights));
		};

		await until(async () => allHold(weights => weights.includes('m@2')));
		const fencing = leader.fencing()!;
		chai.expect(fencing).to.be.greaterThan(0);
		const read = await holdings();
		chai.expect(read.map(engine => engine?.fencing)).to.deep.equal([fencing, fencing]);
		manifest = {...manifest, generation: 2, recalled: ['model:m@2']};
		await until(async () => allHold(weights => weights.join(' ') === 'm@1'));
	});
});
