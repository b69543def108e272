import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as purify from 'purify-ts';
import * as clocks from '../support/manual-clock.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const entry: core.fleet.EndpointEntry = {
	id: 'a', bornAt: 1, pool: 'app', address: '127.0.0.1:9', dataCentre: 'dc-a', slots: 8, state: core.fleet.EndpointState.Ready, weights: new Map(),
};
const plainPool: core.routing.Pool = {name: 'app', healthPath: '/health', connectionLimit: 10};
const enginePool: core.routing.Pool = {...plainPool, engine: {models: ['m']} as unknown as core.routing.Pool['engine']};
const tickMs = 100;

type LoggedLine = {
	readonly event: core.log.LogEvent;
	readonly fields: unknown;
};

describe('controllers that call endpoints which ask for a pause', () => {
	let clock: clocks.ManualClock;
	let lines: LoggedLine[];
	let log: gateway.util.EventLog;
	let pauses: gateway.placement.EndpointPauses;

	beforeEach(() => {
		clock = new clocks.ManualClock();
		lines = [];
		log = {
			write(event, fields) {
				lines.push({event, fields});
			},
		};
		pauses = new gateway.placement.EndpointPauses({clock, log, random: () => 0});
	});

	describe('health checks', () => {
		let fleet: gateway.placement.FleetState;
		/** Times of the checks that were sent. */
		let checks: number[];
		let retryAfterMs: number | undefined;
		let isAlive: boolean;

		function createController(pool: core.routing.Pool): gateway.controllers.EndpointController {
			const admin: Partial<gateway.ports.EndpointAdmin> = {
				async checkHealth() {
					checks.push(clock.now);
					return {isAlive, retryAfterMs};
				},
				async readReport() {
					checks.push(clock.now);
					return purify.Left({message: 'status 503', retryAfterMs});
				},
			};
			const dependencies = {
				config: {table: {findPool: () => pool}},
				fleet,
				pauses,
				connections: {closeIdle: () => undefined},
				dispatcher: {abortOutdatedAttempts: () => undefined, abortPausedAttempts: () => undefined, abortSilentAttempts: () => undefined},
				admin,
				clock,
				log,
			};
			return new gateway.controllers.EndpointController(dependencies as unknown as gateway.controllers.EndpointControllerDependencies);
		}

		async function runUntil(controller: gateway.controllers.EndpointController, until: number): Promise<void> {
			for (; clock.now < until; clock.now += tickMs) {
				controller.tick();
				await Promise.resolve(); // eslint-disable-line no-await-in-loop -- Lets the check end.
				await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- Lets the check end.
					setImmediate(resolve);
				});
			}
		}

		beforeEach(() => {
			fleet = new gateway.placement.FleetState();
			fleet.registry.put(entry, 0);
			checks = [];
			retryAfterMs = undefined;
			isAlive = false;
		});

		it('stop from the response that asks for a pause until its end', async () => {
			fleet.health.recordUnresponsive('a');
			retryAfterMs = 3000;
			await runUntil(createController(plainPool), 4500);
			expect(checks).to.deep.equal([0, 3000]);
			expect(lines.map(({event}) => event)).to.deep.equal([
				core.log.LogEvent.EndpointPaused, core.log.LogEvent.EndpointPauseEnded, core.log.LogEvent.EndpointPaused,
			]);
		});

		it('count as a response of an engine that asks for a pause instead of sending its report', async () => {
			fleet.health.recordUnresponsive('a');
			retryAfterMs = 3000;
			await runUntil(createController(enginePool), 2000);
			expect(checks).to.deep.equal([0]);
			expect(fleet.health.isResponsive('a')).to.equal(true);
			expect(pauses.isPaused(entry)).to.equal(true);
		});

		it('take a permit of an endpoint that limits its requests', async () => {
			const limit = {requestsPerSecond: 0.25, text: '0.25'};
			fleet.health.recordUnresponsive('a');
			fleet.limits.record(entry, {limit, isAuthoritative: true}, 0);
			await runUntil(createController(plainPool), 20_000);
			expect(checks.length).to.be.within(4, 5);
			expect(checks.slice(1).every((at, index) => at - checks[index]! >= 4000)).to.equal(true);
			expect(fleet.limits.take(entry, clock.now), 'left for other requests').to.equal(false);
		});

		it('are not made by a VM without a share of the limit', async () => {
			const limit = {requestsPerSecond: 0.25, text: '0.25'};
			fleet.health.recordUnresponsive('a');
			fleet.limits.record(entry, {limit, isAuthoritative: true}, 0);
			fleet.limits.setVms(Array.from({length: 20}, (_, index) => `vm-${index}`));
			expect(fleet.limits.waitMs(entry, 0)).to.equal(Infinity);
			await runUntil(createController(plainPool), 20_000);
			expect(checks).to.deep.equal([]);
		});

		it('go on twice in a pause if requests are in flight at an endpoint that is silent', async () => {
			pauses.record(entry, 60_000);
			fleet.loads.addRequest('a', 'r-1', 0);
			fleet.health.recordSent('a', 'r-1', 100, 0);
			await runUntil(createController(plainPool), 10_000);
			expect(checks).to.deep.equal([600, 1600]);
			expect(fleet.health.isResponsive('a')).to.equal(false);
		});
	});

	describe('digests', () => {
		function createController(vm: string, own: gateway.placement.EndpointPauses, send: (digest: core.fleet.LoadDigest) => void): gateway.controllers.LoadController {
			return new gateway.controllers.LoadController({
				vm,
				process: 1,
				fleet: new gateway.placement.FleetState(),
				pauses: own,
				quarantine: new gateway.controllers.QuarantineController({
					clock: {suspendAwareNow: () => 0}, log: {write: () => undefined}, onPendingEvidence: () => undefined, onQuarantined: () => undefined,
				}),
				coordination: {listPeerAddresses: () => ['10.0.0.1:1']},
				exchange: {send},
				clock,
				log,
				maxSharedVersionAgeMs: 0,
			});
		}

		it('of an idle VM tell the others of a pause until its end', () => {
			const others = new gateway.placement.EndpointPauses({clock, log, random: () => 0});
			const receiver = createController('vm-2', others, () => undefined);
			let sent = 0;
			const sender = createController('vm-1', pauses, digest => {
				sent += 1;
				receiver.applyDigest(gateway.peers.decodeDigest(gateway.peers.encodeDigest(digest))!);
			});
			clock.now = 1000;
			// The digest that a VM sends when it becomes idle.
			sender.tick();
			pauses.record(entry, 2000);
			for (; clock.now < 5000; clock.now += tickMs) {
				sender.tick();
				expect(others.isPausedForPeers(entry)).to.equal(clock.now >= 1200 && clock.now < 3000);
				expect(others.isPaused(entry)).to.equal(false);
			}

			// One each 200 ms during the pause, the first one, and one when the VM becomes idle again.
			expect(sent).to.equal(11);
		});
	});

	describe('polls of the cache store', () => {
		it('stop from the response that asks for a pause until its end', async () => {
			const polls: number[] = [];
			const controller = new gateway.controllers.CacheStoreController({
				vm: 'vm-1',
				config: {table: {config: {cacheStores: [{address: '10.0.0.1:80'}]}}} as unknown as core.routing.ConfigState,
				coordination: {listVmNames: () => ['vm-1']} as unknown as gateway.controllers.CoordinationController,
				changeFeed: {
					async poll() {
						polls.push(clock.now);
						return purify.Left({message: 'status 503', retryAfterMs: 2500});
					},
				},
				pauses,
				log,
				publishObservations: () => undefined,
			});
			for (; clock.now < 6000; clock.now += tickMs) {
				await controller.tick(); // eslint-disable-line no-await-in-loop -- One after the other.
			}

			expect(polls).to.deep.equal([0, 2500, 5000]);
		});
	});
});
