import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const timeoutMs = 1000;
/** More than the history tracks at once. */
const incarnations = Array.from({length: 5000}, (_, index) => `i-${index}`);

function countEnded(history: core.members.IncarnationHistory, now: number): number {
	return incarnations.filter(incarnation => history.hasEnded(undefined, `vm-${incarnation}`, incarnation, now)).length;
}

describe('IncarnationHistory', () => {
	it('counts an incarnation that is never seen as ended after the timeout, and not before', () => {
		const history = new core.members.IncarnationHistory(timeoutMs);
		expect([0, 999, 1000].map(now => history.hasEnded(undefined, 'vm', 'i', now))).to.deep.equal([false, false, true]);
	});

	// Each query of an incarnation that was dropped to make room started its timeout again, so that none of them ever ended.
	it('ends more incarnations than it tracks at once, one timeout after the other', () => {
		const history = new core.members.IncarnationHistory(timeoutMs);
		expect(countEnded(history, 0)).to.equal(0);
		expect(countEnded(history, timeoutMs)).to.equal(4096);
		expect(countEnded(history, 2 * timeoutMs)).to.be.at.least(4096);
		expect(countEnded(history, 3 * timeoutMs)).to.be.at.least(4096);
		expect(history.hasEnded(undefined, 'vm-i-4999', 'i-4999', 4 * timeoutMs)).to.equal(true);
	});

	it('keeps the last ended incarnations of a VM', () => {
		const history = new core.members.IncarnationHistory(timeoutMs);
		for (let index = 0; index < 10; index++) {
			history.recordEnd('vm', `i-${index}`);
		}

		expect([1, 2, 9].map(index => history.hasEnded(undefined, 'vm', `i-${index}`, 0))).to.deep.equal([false, true, true]);
	});
});
