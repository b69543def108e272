import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as poolResult from '../support/pool-result.js';
import * as simulatedPool from '../support/simulated-pool.js';
import * as waitRules from '../support/wait-rules.js';

const {expect} = chai;
const scenario = {
	endpointCount: 20, requestsPerSecond: 250, deadlineMs: 8000, hasEngines: true, seed: 1,
};
/** Slots of all endpoints; a wave would fill them at once. */
const slotCount = 160;
const gapCount = 5;
const intervalMs = 5000;
const gapMs = 1000;

/** What happens to all endpoints of the pool. */
type Change = (pool: simulatedPool.SimulatedPool) => void;

const replace: Change = pool => {
	pool.removeEndpoints();
	pool.time.schedule(gapMs, () => {
		pool.replaceEndpoints();
	});
};

const loadWeights: Change = pool => {
	pool.loadWeights(gapMs);
};

async function run(changes: Partial<simulatedPool.PoolScenario>, createRules: () => core.fleet.WaitRules, change: Change): Promise<poolResult.PoolResult> {
	const pool = new simulatedPool.SimulatedPool({
		...scenario, vmCount: 7, ...changes, createRules,
	});
	for (let count = 0; count < gapCount; count++) {
		pool.time.schedule(2000 + (count * intervalMs), () => {
			change(pool);
		});
	}

	return pool.run(2000 + (gapCount * intervalMs));
}

async function expectServed(changes: Partial<simulatedPool.PoolScenario>, change: Change): Promise<void> {
	const before = await run(changes, () => new waitRules.RefusingWaitRules(), change);
	const after = await run(changes, () => new core.fleet.LearnedWaitRules(), change);
	console.log(`        ${poolResult.compare(before, after)}`);
	expect(before.earlyRefusals).to.be.greaterThan(1000);
	expect(after.served).to.equal(after.requests);
	expect(after.earlyRefusals + after.lateRefusals).to.be.at.most(before.earlyRefusals / 50);
	expect(after.exhausted).to.equal(0);
	expect(after.maxArrivals).to.be.at.most(slotCount);
}

// Guards against 503s in the moment between the leave of the last endpoint of a pool and the start of the next one.
describe('requests to a pool whose last endpoint leaves a second before the next one registers', () => {
	for (const vmCount of [7, 66, 195, 420]) {
		it(`are served after a wait, with ${vmCount} VMs`, async () => {
			await expectServed({vmCount}, replace);
		}).timeout(60_000);
	}

	it('are served after a wait by a plain service, with short deadlines', async () => {
		await expectServed({hasEngines: false, deadlineMs: 3000}, replace);
	}).timeout(60_000);

	it('are refused at once if no other endpoint registers, after the first ones have waited for a part of their time', async () => {
		const result = await run({}, () => new core.fleet.LearnedWaitRules(), pool => {
			pool.removeEndpoints();
		});
		console.log(`        refusals at once ${result.earlyRefusals}, after a wait ${result.lateRefusals} (${Math.round(result.lateRefusalMs / result.lateRefusals)} ms)`);
		expect(result.earlyRefusals).to.be.greaterThan(5 * result.lateRefusals);
		expect(result.lateRefusalMs / result.lateRefusals).to.be.lessThan(scenario.deadlineMs / 3);
	}).timeout(60_000);
});

describe('requests to a pool that loads new weights on all its engines at once', () => {
	it('are served after a wait', async () => {
		await expectServed({}, loadWeights);
	}).timeout(60_000);
});
