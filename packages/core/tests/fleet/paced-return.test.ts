import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

/** Sends whenever it is allowed in steps of 1 ms. @returns The times. */
function send(pace: core.fleet.PacedReturn, until: number): number[] {
	const times: number[] = [];
	for (let now = 0; now < until; now++) {
		if (!pace.hasEnded(now) && pace.maySend(now)) {
			pace.recordSent();
			times.push(now);
		}
	}

	return times;
}

describe('PacedReturn', () => {
	it('spreads the waiting requests, and those that arrive meanwhile, over a quarter of the gap', () => {
		const times = send(new core.fleet.PacedReturn({waitingCount: 40, gapMs: 1000, random: 0}, 0), 1000);
		expect(times).to.have.lengthOf(50);
		expect(times.slice(0, 4)).to.deep.equal([0, 5, 10, 15]);
		expect(times.at(-1)).to.equal(245);
	});

	it('has VMs with one request each begin at different times', () => {
		const firsts = [0, 0.25, 0.5, 0.75].map(random => send(new core.fleet.PacedReturn({waitingCount: 1, gapMs: 1000, random}, 0), 1000)[0]);
		expect(firsts).to.deep.equal([0, 50, 100, 150]);
	});

	it('takes at most 2 s, and holds nothing back afterwards', () => {
		const pace = new core.fleet.PacedReturn({waitingCount: 10, gapMs: 3_600_000, random: 0.9}, 0);
		expect([1999, 2000].map(now => pace.hasEnded(now))).to.deep.equal([false, true]);
		expect(pace.maySend(2000)).to.equal(true);
	});
});
