import * as chai from 'chai';
import * as fc from 'fast-check';
import * as router from '@bluebellmast/router';

const startedAt = 1_000_000;
const tickIntervalMs = 500;

describe('RunningTime', () => {
	const cases: ReadonlyArray<{label: string; ticksAfterMs: readonly number[]; readAfterMs: number; elapsedMs: number}> = [
		{
			label: 'counts the time between ticks', ticksAfterMs: [500, 1000, 1500], readAfterMs: 1600, elapsedMs: 1600,
		},
		{
			label: 'counts one interval of a pause that a tick ends', ticksAfterMs: [500, 60_000], readAfterMs: 60_100, elapsedMs: 1100,
		},
		{
			label: 'counts one interval of a pause before the tick that ends it', ticksAfterMs: [500], readAfterMs: 60_000, elapsedMs: 1000,
		},
		{
			label: 'counts nothing while the clock is set back', ticksAfterMs: [500, 400], readAfterMs: 450, elapsedMs: 550,
		},
	];
	for (const {label, ticksAfterMs, readAfterMs, elapsedMs} of cases) {
		it(label, () => {
			const runningTime = new router.peers.RunningTime(tickIntervalMs, startedAt);
			for (const afterMs of ticksAfterMs) {
				runningTime.tick(startedAt + afterMs);
			}

			chai.expect(runningTime.elapsedMs(startedAt + readAfterMs)).to.equal(elapsedMs);
		});
	}

	it('never decreases, and grows by one interval at most between two ticks', () => {
		const steps = fc.array(fc.record({afterMs: fc.integer({min: -2000, max: 5000}), isTick: fc.boolean()}), {maxLength: 50});
		fc.assert(fc.property(steps, all => {
			const runningTime = new router.peers.RunningTime(tickIntervalMs, startedAt);
			let now = startedAt;
			let elapsedMs = 0;
			let elapsedMsAtLastTick = 0;
			for (const {afterMs, isTick} of all) {
				now += afterMs;
				const previousMs = elapsedMs;
				elapsedMs = runningTime.elapsedMs(now);
				chai.expect(elapsedMs).to.be.at.least(previousMs);
				chai.expect(elapsedMs - elapsedMsAtLastTick).to.be.at.most(tickIntervalMs);
				if (isTick) {
					runningTime.tick(now);
					elapsedMsAtLastTick = elapsedMs;
				}
			}
		}), {seed: 28, numRuns: 500});
	});
});
