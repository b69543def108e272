import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

function call(startedAt: number, endedAt: number, suspendedMs = 0): core.store.CallTimes {
	return {startedAt, endedAt, suspendedMs};
}

describe('ChangeTimes', () => {
	it('knows only the end of the first read', () => {
		expect(new core.store.ChangeTimes().intervalOf(call(100, 120))).to.deep.equal({after: -Infinity, assumed: 120, before: 120});
	});

	const cases = [
		{
			name: 'a poll that waited', hasFailed: false, read: call(1000, 1700),
			expected: {
				after: 100, assumed: 1700, before: 1700, isPrompt: true,
			},
		},
		{
			name: 'a poll that returned at once', hasFailed: false, read: call(600, 610),
			expected: {
				after: 100, assumed: 120, before: 610, isPrompt: true,
			},
		},
		{
			name: 'a read soon after a failure', hasFailed: true, read: call(900, 910),
			expected: {
				after: 100, assumed: 100, before: 910, isPrompt: false,
			},
		},
		{
			name: 'a read after an outage', hasFailed: true, read: call(9000, 9010),
			expected: {
				after: 100, assumed: 7010, before: 9010, isPrompt: false,
			},
		},
		{
			name: 'a poll over a suspension', hasFailed: false, read: call(150, 9150, 8900),
			expected: {
				after: 100, assumed: 100, before: 9150, isPrompt: false,
			},
		},
		{
			name: 'clocks read one after the other', hasFailed: false, read: call(1000, 1700, 1),
			expected: {
				after: 100, assumed: 1700, before: 1700, isPrompt: true,
			},
		},
	];
	for (const {name, hasFailed, read, expected} of cases) {
		it(`tells when a change was written: ${name}`, () => {
			const times = new core.store.ChangeTimes();
			times.recordSuccess(call(100, 120));
			if (hasFailed) {
				times.recordFailure();
			}

			expect(times.intervalOf(read)).to.deep.equal(expected);
		});
	}

	it('forgets a failure after the next success', () => {
		const times = new core.store.ChangeTimes();
		times.recordSuccess(call(100, 120));
		times.recordFailure();
		times.recordSuccess(call(500, 510));
		expect(times.intervalOf(call(600, 1400))).to.deep.equal({
			after: 500, assumed: 1400, before: 1400, isPrompt: true,
		});
	});
});
