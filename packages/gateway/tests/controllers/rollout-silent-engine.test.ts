import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import * as clocks from '../support/manual-clock.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const engineCount = 8;
/** Engines of the pool that may load weights at once. */
const maxLoading = 2;

// Guards against more loads at once than a roll-out allows, since a step is taken from an engine that is only suspected.
describe('a roll-out with an engine that falls silent for a moment while it loads', () => {
	let clock: clocks.ManualClock;
	let fleet: gateway.placement.FleetState;
	let ordered: Set<string>;
	let controller: gateway.controllers.RolloutController;

	beforeEach(() => {
		clock = new clocks.ManualClock();
		fleet = new gateway.placement.FleetState();
		const pool: core.routing.Pool = {
			name: 'llm', healthPath: '/health', connectionLimit: 10, engine: {
				slots: 8, memoryTokens: 1000, bytesPerToken: 1, linkMbps: 1, models: ['m'],
			},
		};
		for (let number = 0; number < engineCount; number++) {
			fleet.registry.put({
				id: `e-${number}`, bornAt: 1, pool: 'llm', address: '127.0.0.1:9', dataCentre: 'dc-a', slots: 8,
				state: core.fleet.EndpointState.Ready, weights: new Map([['m', 1]]),
			}, 0);
		}

		fleet.targets.addReported('m', 2, 0, 0);
		const log = {write: () => undefined};
		ordered = new Set<string>();
		const never = new Promise<never>(() => {
			// Reports of engines that load stay pending in this test.
		});
		controller = new gateway.controllers.RolloutController({
			recentVersions: {has: () => false, tick: async () => undefined},
			vm: 'vm-1',
			store: {compareAndSwap: async () => purify.Right({swapped: true, revision: 1})},
			coordination: {
				state: {planRevision: 0, isPlanStored: true},
				recordOwnPlan(plan: core.rollout.RolloutPlan) {
					fleet.plan = plan;
				},
			},
			lease: {fencing: () => 1},
			fleet,
			pauses: new gateway.placement.EndpointPauses({clock, log, random: () => 0}),
			config: {table: {config: {pools: [pool]}}},
			admin: {
				async readReport(entry: core.fleet.EndpointEntry) {
					const report: gateway.ports.EngineReport = {
						bornAt: 1, weights: new Map([['m', 1]]), isBusy: false, acceptedOrders: 0,
					};
					return ordered.has(entry.id) ? never : purify.Right(report);
				},
				async orderWeightLoad(entry: core.fleet.EndpointEntry) {
					ordered.add(entry.id);
					return {outcome: gateway.ports.OrderOutcome.Accepted};
				},
			},
			clock,
			log,
			limits: core.rollout.defaultRolloutLimits,
		} as unknown as gateway.controllers.RolloutControllerDependencies);
	});

	/** Lets the leader work for a second. */
	async function work(): Promise<void> {
		for (let step = 0; step < 20; step++) {
			clock.now += 50;
			await controller.tick(); // eslint-disable-line no-await-in-loop -- Ticks follow one another.
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- Ticks follow one another.
				setImmediate(resolve);
			});
		}
	}

	it('does not have more engines load at once than may', async () => {
		await work();
		expect(ordered.size).to.equal(maxLoading);
		fleet.health.recordCheck([...ordered][0]!, false, clock.now);
		await work();
		expect(ordered.size).to.equal(maxLoading);
	});

	it('goes on at another engine if it stays silent', async () => {
		await work();
		const [silent] = ordered;
		fleet.health.recordCheck(silent!, false, clock.now);
		for (let second = 1; second <= 3; second++) {
			await work(); // eslint-disable-line no-await-in-loop -- Seconds follow one another.
		}

		expect(ordered.size).to.equal(maxLoading + 1);
		expect(fleet.plan.steps.map(({endpoint}) => endpoint)).to.not.include(silent);
		expect(fleet.plan.steps.length).to.equal(maxLoading);
	});

	it('keeps the step of the engine when it goes on', async () => {
		await work();
		const steps = fleet.plan.steps.map(({endpoint}) => endpoint);
		fleet.health.recordCheck(steps[0]!, false, clock.now);
		await work();
		fleet.health.recordCheck(steps[0]!, true, clock.now);
		for (let second = 1; second <= 3; second++) {
			await work(); // eslint-disable-line no-await-in-loop -- Seconds follow one another.
		}

		expect(fleet.plan.steps.map(({endpoint}) => endpoint)).to.have.members(steps);
		expect(ordered.size).to.equal(maxLoading);
	});

	it('goes on at another engine at once if nothing listens at its address', async () => {
		await work();
		fleet.health.recordUnresponsive([...ordered][0]!);
		await work();
		expect(ordered.size).to.equal(maxLoading + 1);
	});
});
