import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import type * as fake from '../support/fake-connections.js';
import * as loaded from '../support/loaded-vm.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {settle} = loaded;

// Guards against requests that wait until their deadline for a silent endpoint that has left the store, or whose pool the configuration no longer has.
describe('a request', () => {
	let vm: loaded.LoadedVm;

	beforeEach(() => {
		vm = new loaded.LoadedVm();
	});

	afterEach(async () => {
		await vm.close();
	});

	/** Sends a request to endpoint `a`, and lists the others afterwards. @returns The attempt. */
	async function start(route: Partial<core.routing.Route>, ...others: string[]): Promise<fake.FakeStream> {
		vm.addEndpoint('a');
		vm.send('r-1', route);
		await settle();
		for (const id of others) {
			vm.addEndpoint(id);
		}

		return vm.connections.streams[0]!;
	}

	describe('at an endpoint whose entry leaves the store', () => {
		let controller: gateway.controllers.EndpointController;
		let isAlive: boolean;
		let checked: string[];
		let configuredPool: core.routing.Pool | undefined;

		function createEntry(id: string): core.fleet.EndpointEntry {
			return {
				id, bornAt: 1, pool: 'app', address: '127.0.0.1:9', dataCentre: 'dc-a', slots: 200, state: core.fleet.EndpointState.Ready, weights: new Map(),
			};
		}

		beforeEach(() => {
			isAlive = false;
			checked = [];
			configuredPool = {name: 'app', healthPath: '/health', connectionLimit: 1000};
			controller = new gateway.controllers.EndpointController({
				decoder: {
					endpointIdOf: (key: string) => key,
					decode: ({key}: {readonly key: string}) => ({type: gateway.ports.StoreEntryType.Endpoint, entry: createEntry(key)}),
				},
				config: {table: {findPool: () => configuredPool}},
				fleet: vm.fleet,
				pauses: vm.pauses,
				connections: {retain: () => undefined, closeIdle: () => undefined},
				dispatcher: vm.dispatcher,
				admin: {
					async checkHealth({id}: core.fleet.EndpointEntry) {
						checked.push(id);
						return {isAlive};
					},
				},
				clock: vm.clock,
				log: {write: () => undefined},
			} as unknown as gateway.controllers.EndpointControllerDependencies);
		});

		it('still counts when the entry returns', async () => {
			await vm.begin();
			controller.onChange({key: 'a'}, {startedAt: 0} as gateway.controllers.ReadContext);
			vm.addEndpoint('a');
			expect(vm.fleet.loads.countOwnActive('a')).to.equal(vm.connections.listAt('a').length);
		});

		it('is sent to another one if it stays silent', async () => {
			await start({}, 'b');
			controller.onChange({key: 'a'}, {startedAt: 0} as gateway.controllers.ReadContext);
			for (let second = 1; second <= 10; second++) {
				vm.clock.now = second * 1000;
				controller.tick();
				await settle(); // eslint-disable-line no-await-in-loop -- Ticks follow one another.
			}

			expect(vm.connections.listAt('b').length).to.equal(1);
		});

		it('stays there if it responds to checks, and its entry has left', async () => {
			isAlive = true;
			await start({}, 'b');
			controller.onChange({key: 'a'}, {startedAt: 0} as gateway.controllers.ReadContext);
			for (let second = 1; second <= 10; second++) {
				vm.clock.now = second * 1000;
				controller.tick();
				await settle(); // eslint-disable-line no-await-in-loop -- Ticks follow one another.
			}

			expect(new Set(checked)).to.deep.equal(new Set(['a']));
			expect(vm.connections.listAt('b')).to.deep.equal([]);
		});

		it('is not the reason of checks after its end', async () => {
			const attempt = await start({}, 'b');
			controller.onChange({key: 'a'}, {startedAt: 0} as gateway.controllers.ReadContext);
			attempt.begin();
			attempt.sendEvent();
			attempt.end();
			await settle();
			for (let second = 1; second <= 10; second++) {
				vm.clock.now = second * 1000;
				controller.tick();
				await settle(); // eslint-disable-line no-await-in-loop -- Ticks follow one another.
			}

			expect(checked).to.deep.equal([]);
		});

		it('is sent to another one if it stays silent and its entry remains, but a new configuration no longer has its pool', async () => {
			await start({}, 'b');
			configuredPool = undefined;
			for (let second = 1; second <= 10; second++) {
				vm.clock.now = second * 1000;
				controller.tick();
				await settle(); // eslint-disable-line no-await-in-loop -- Ticks follow one another.
			}

			expect(vm.connections.listAt('b').length).to.equal(1);
		});

		it('is sent to another one if it stays silent and its entry does not leave', async () => {
			await start({}, 'b');
			for (let second = 1; second <= 10; second++) {
				vm.clock.now = second * 1000;
				controller.tick();
				await settle(); // eslint-disable-line no-await-in-loop -- Ticks follow one another.
			}

			expect(vm.connections.listAt('b').length).to.equal(1);
		});
	});
});
