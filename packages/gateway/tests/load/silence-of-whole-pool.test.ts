import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as poolResult from '../support/pool-result.js';
import * as simulatedPool from '../support/simulated-pool.js';
import * as waitRules from '../support/wait-rules.js';

const {expect} = chai;
const seed = 1;
const scenario = {
	endpointCount: 20, requestsPerSecond: 250, deadlineMs: 8000, hasEngines: true, seed,
};
/** Slots of all endpoints; a wave would fill them at once. */
const slotCount = 160;
/** Silences of all endpoints, in milliseconds. */
const silencesMs = [1200, 1500, 1800, 1400, 2000];
const intervalMs = 5000;

/** Has all endpoints fall silent for a moment, again and again. */
async function run(vmCount: number, createRules: () => core.fleet.WaitRules): Promise<poolResult.PoolResult> {
	const pool = new simulatedPool.SimulatedPool({...scenario, vmCount, createRules});
	for (const [index, ms] of silencesMs.entries()) {
		pool.time.schedule(2000 + (index * intervalMs), () => {
			pool.fallSilent(ms);
		});
	}

	return pool.run(2000 + (silencesMs.length * intervalMs));
}

/** Has all endpoints fall silent for good after short silences. */
async function runFailure(vmCount: number, createRules: () => core.fleet.WaitRules): Promise<poolResult.PoolResult> {
	const pool = new simulatedPool.SimulatedPool({...scenario, vmCount, createRules});
	for (const at of [2000, 7000, 12_000]) {
		pool.time.schedule(at, () => {
			pool.fallSilent(1200);
		});
	}

	pool.time.schedule(17_000, () => {
		pool.fallSilent(Infinity);
	});
	return pool.run(32_000);
}

// Guards against 503s for a silence of a second or two: requests were refused although they had seconds left, and waited for a fixed second in vain.
describe('requests to a pool whose endpoints all fall silent for a moment', () => {
	for (const vmCount of [7, 66, 195, 420]) {
		it(`are served after a wait instead of being refused, with ${vmCount} VMs`, async () => {
			const before = await run(vmCount, () => new waitRules.RefusingWaitRules());
			const after = await run(vmCount, () => new core.fleet.LearnedWaitRules());
			console.log(`        ${poolResult.compare(before, after)}`);
			expect(after.served).to.equal(after.requests);
			expect(after.earlyRefusals + after.lateRefusals).to.be.at.most((before.earlyRefusals + before.lateRefusals) / 5);
			expect(after.maxArrivals).to.be.at.most(slotCount);
		}).timeout(60_000);
	}
});

describe('requests to a pool whose endpoints fall silent for good', () => {
	it('are refused at once after the first ones have waited for a part of their time', async () => {
		const result = await runFailure(7, () => new core.fleet.LearnedWaitRules());
		console.log(`        refusals at once ${result.earlyRefusals}, after a wait ${result.lateRefusals} (${Math.round(result.lateRefusalMs / result.lateRefusals)} ms)`);
		expect(result.earlyRefusals).to.be.greaterThan(5 * result.lateRefusals);
		expect(result.lateRefusalMs / result.lateRefusals).to.be.lessThan(scenario.deadlineMs / 3);
	}).timeout(60_000);
});
