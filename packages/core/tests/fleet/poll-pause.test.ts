import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
/** Time of a call, in milliseconds. */
const callMs = 4;

describe('polls of the store by a fleet in which entries change all the time', () => {
	const cases = [
		{vms: 7, maxPollsPerSecond: 500},
		{vms: 60, maxPollsPerSecond: 500},
		{vms: 195, maxPollsPerSecond: 500},
		// Half of the reads of the smallest store.
		{vms: 420, maxPollsPerSecond: 1000},
	];
	for (const {vms, maxPollsPerSecond} of cases) {
		it(`stay below ${maxPollsPerSecond} a second with ${vms} VMs`, () => {
			const pollsPerSecond = vms * 1000 / (core.fleet.computePollPauseMs(vms) + callMs);
			expect(pollsPerSecond).to.be.at.most(maxPollsPerSecond);
		});
	}

	it('delay news by less than a second at any size', () => {
		expect(core.fleet.computePollPauseMs(1_000_000)).to.be.lessThan(1000);
	});

	it('delay news by little in a small fleet', () => {
		expect(core.fleet.computePollPauseMs(7)).to.be.lessThan(20);
	});
});
