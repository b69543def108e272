import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const route = {
	name: 'book', kind: core.routing.RouteKind.Unsafe, targetLatencyMs: 100, timeoutMs: 3000,
};
const lateAt = 4000;
const deadlineAt = 20_000;

describe('GracefulShutdown', () => {
	let shutdown: core.request.GracefulShutdown;

	beforeEach(() => {
		shutdown = new core.request.GracefulShutdown();
	});

	function record(...durations: readonly number[]): void {
		for (const durationMs of durations) {
			shutdown.recordDuration('book', durationMs);
		}
	}

	/** Begins the shutdown. @returns Until when a request may be sent. */
	function stopAt(endsAt: number): number {
		shutdown.begin(endsAt, lateAt);
		return shutdown.latestSendAt(route, deadlineAt);
	}

	it('sets no limit before it begins', () => {
		record(500);
		expect(shutdown.latestSendAt(route, deadlineAt)).to.equal(Infinity);
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
		shutdown.recordDuration('look', 2000);
		record(40);
		shutdown.begin(10_000, lateAt);
		expect(shutdown.latestSendAt(route, deadlineAt)).to.equal(9960);
	});

	it('keeps its end after a second signal', () => {
		record(40);
		shutdown.begin(10_000, lateAt);
		shutdown.begin(12_000, lateAt + 2000);
		expect(shutdown.latestSendAt(route, deadlineAt)).to.equal(9960);
	});

	describe('of streams', () => {
		const stream = {...route, kind: core.routing.RouteKind.Streaming};

		it('allows those whose deadline is before the end of the process as long as other requests', () => {
			record(40);
			shutdown.begin(10_000, lateAt);
			expect(shutdown.latestSendAt(stream, 10_000)).to.equal(9960);
		});

		it('allows the others until they count as late, however short the latest ones were', () => {
			record(40);
			shutdown.begin(10_000, lateAt);
			shutdown.begin(12_000, lateAt + 2000);
			expect(shutdown.latestSendAt(stream, 10_001)).to.equal(lateAt);
		});

		it('allows the others for a shorter time if the latest ones took longer', () => {
			record(2900);
			shutdown.begin(5000, lateAt);
			expect(shutdown.latestSendAt(stream, deadlineAt)).to.equal(2100);
		});
	});

	it('remembers 1,000 routes at most', () => {
		record(2000);
		for (let number = 0; number < 1000; number++) {
			shutdown.recordDuration(`r-${number}`, 1);
		}

		shutdown.begin(10_000, lateAt);
		expect(shutdown.latestSendAt(route, deadlineAt)).to.equal(9700);
	});
});
