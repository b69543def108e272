import * as buffer from 'node:buffer';
import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import type * as kv from '@bluebellmast/kv';
import * as purify from 'purify-ts';
import * as manualClock from '../support/manual-clock.js';
import * as entries from '../support/weekly-entries.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const tickMs = 50;
const config = {...entries.describeHour(0).config, version: 1};
const [model] = config.pools[0]!.engine!.models;

/** A leader whose engine accepts orders and goes on loading. */
class Leader {
	readonly clock = new manualClock.ManualClock();
	readonly fleet = new gateway.placement.FleetState();
	readonly orderedAt: number[] = [];
	/** Values of the plan that were written. */
	readonly written: string[] = [];
	readonly #rollout: gateway.controllers.RolloutController;

	constructor() {
		const {clock, fleet} = this;
		const log: gateway.util.EventLog = {write: () => undefined};
		const routing = new core.routing.ConfigState();
		let revision = 0;
		routing.accept(config);
		this.#rollout = new gateway.controllers.RolloutController({
			recentVersions: {has: () => false, tick: async () => undefined},
			vm: 'vm', fleet, clock, log, config: routing,
			coordination: new gateway.controllers.CoordinationController(fleet, clock, log),
			pauses: new gateway.placement.EndpointPauses({clock, log, random: () => 0}),
			store: {
				compareAndSwap: async (_key: string, _revision: number, value: Uint8Array) => {
					revision += 1;
					this.written.push(buffer.Buffer.from(value).toString());
					return purify.Right({swapped: true, revision});
				},
			} as unknown as kv.kv.KeyValueClient,
			lease: {fencing: () => 1, handleFenced: () => undefined} as unknown as gateway.controllers.LeaseController,
			admin: {
				readReport: async () => purify.Right({
					bornAt: 0, weights: new Map([[model!, 1]]), isBusy: false, acceptedOrders: 0,
				}),
				orderWeightLoad: async () => {
					this.orderedAt.push(clock.now);
					return {outcome: gateway.ports.OrderOutcome.Unknown};
				},
			} as unknown as gateway.ports.EndpointAdmin,
			limits: core.rollout.defaultRolloutLimits,
		});
		fleet.registry.put({...entries.describeHour(0).endpoints[0]!, weights: new Map([[model!, 1]])}, 0);
		fleet.targets.observe(model!, 2, {after: 0, assumed: 0, before: 0});
	}

	async run(untilMs: number): Promise<void> {
		while (this.clock.now < untilMs) {
			this.clock.now += tickMs;
			await this.#rollout.tick(); // eslint-disable-line no-await-in-loop -- Ticks follow one another.
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- Ticks follow one another.
				setImmediate(resolve);
			});
		}
	}
}

describe('RolloutController', () => {
	it('states the age of each named version in the plan, which needs no wall clock', async () => {
		const leader = new Leader();
		await leader.run(50);
		const plan = JSON.parse(leader.written[0]!) as {readonly named: unknown};
		expect(plan.named).to.deep.equal([[model, 2, 0, 50]]);
	});

	// Guards against orders that are repeated at once because the engine has left the plan for a moment.
	it('sends an order again only when it is due, also if the engine was silent meanwhile', async () => {
		const leader = new Leader();
		await leader.run(500);
		expect(leader.orderedAt.length).to.equal(1);
		const {id} = entries.describeHour(0).endpoints[0]!;
		leader.fleet.health.recordUnresponsive(id);
		await leader.run(600);
		expect(leader.fleet.plan.steps).to.deep.equal([]);
		leader.fleet.health.recordCheck(id, true, 600);
		await leader.run(2000);
		expect(leader.orderedAt.length).to.be.greaterThan(1);
		expect(leader.orderedAt[1]! - leader.orderedAt[0]!).to.be.at.least(gateway.controllers.defaultRolloutControllerOptions.orderRetryMs);
	});
});
