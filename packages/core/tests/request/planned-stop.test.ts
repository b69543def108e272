import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const route = {name: 'book', targetLatencyMs: 100, timeoutMs: 3000};

describe('PlannedStop', () => {
	let stop: core.request.PlannedStop;

	beforeEach(() => {
		stop = new core.request.PlannedStop();
	});

	function record(...durations: readonly number[]): void {
		for (const durationMs of durations) {
			stop.recordDuration('book', durationMs);
		}
	}

	/** Begins the stop. @returns Until when a request may be sent. */
	function stopAt(endsAt: number): number {
		stop.begin(endsAt);
		return stop.latestSendAt(route);
	}

	it('sets no limit before it begins', () => {
		record(500);
		expect(stop.latestSendAt(route)).to.equal(Infinity);
	});

	const expectations: ReadonlyArray<readonly [description: string, durations: readonly number[], expectedMs: number]> = [
		['of a single response', [500], 500],
		['that nine tenths of the responses did not exceed', [...Array.from({length: 9}, (_, index) => 100 + index), 2000], 108],
		['of the latest 32 responses', [...Array.from({length: 32}, () => 2000), ...Array.from({length: 32}, () => 50)], 50],
		['that is the timeout at most', [9000], 3000],
		['that is three times the target without responses', [], 300],
	];
	for (const [description, durations, expectedMs] of expectations) {
		it(`allows a request while there is the time ${description}`, () => {
			record(...durations);
			expect(stopAt(10_000)).to.equal(10_000 - expectedMs);
		});
	}

	it('does not mix routes', () => {
		stop.recordDuration('look', 2000);
		record(40);
		stop.begin(10_000);
		expect(stop.latestSendAt(route)).to.equal(9960);
	});

	it('keeps its end after a second signal', () => {
		record(40);
		stop.begin(10_000);
		stop.begin(12_000);
		expect(stop.latestSendAt(route)).to.equal(9960);
	});

	it('remembers 1,000 routes at most', () => {
		record(2000);
		for (let number = 0; number < 1000; number++) {
			stop.recordDuration(`r-${number}`, 1);
		}

		stop.begin(10_000);
		expect(stop.latestSendAt(route)).to.equal(9700);
	});
});
