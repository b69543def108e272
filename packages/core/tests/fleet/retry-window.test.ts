import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const limits: core.fleet.RetryWindowLimits = {ratio: 0.2, slack: 54, windowMs: 10_000};

describe('RetryWindow', () => {
	it('allows a VM its part of the slack when there are no requests', () => {
		const window = new core.fleet.RetryWindow(limits);
		let allowed = 0;
		while (window.allowsRetry(7, 0)) {
			window.countRetry(0);
			allowed += 1;
		}

		expect(allowed).to.equal(6);
	});

	it('allows more retries with more requests, and allows retries again after the window', () => {
		const window = new core.fleet.RetryWindow(limits);
		for (let count = 0; count < 300; count++) {
			window.countRequest(0);
			window.countRetry(0);
		}

		expect(window.allowsRetry(7, 0)).to.equal(false);
		expect(window.allowsRetry(7, 14_999)).to.equal(false);
		expect(window.allowsRetry(7, 15_000)).to.equal(true);
	});

	it('keeps the limit over all VMs in every sliding window for any sequence of requests', () => {
		const step = fastCheck.record({
			vm: fastCheck.nat({max: 3}), gapMs: fastCheck.nat({max: 400}), wantsRetry: fastCheck.boolean(),
		});
		fastCheck.assert(fastCheck.property(fastCheck.array(step, {minLength: 50, maxLength: 400}), steps => {
			const windows = Array.from({length: 4}, () => new core.fleet.RetryWindow(limits));
			const requests: number[] = [];
			const retries: number[] = [];
			let now = 0;
			for (const {vm, gapMs, wantsRetry} of steps) {
				now += gapMs;
				windows[vm]!.countRequest(now);
				requests.push(now);
				for (let count = 0; count < (wantsRetry ? 100 : 0) && windows[vm]!.allowsRetry(4, now); count++) {
					windows[vm]!.countRetry(now);
					retries.push(now);
				}
			}

			const countIn = (times: readonly number[], from: number): number =>
				times.filter(time => time >= from && time < from + limits.windowMs).length;
			return retries.every(from => {
				const counted = [from, from - limits.windowMs, from - (limits.windowMs / 2)].map(start => countIn(requests, start));
				return countIn(retries, from) <= (limits.ratio * Math.max(...counted)) + limits.slack;
			});
		}), {seed: 11, numRuns: 200});
	});

	it('takes back the retry that was counted, also when another half of the window has begun', () => {
		const window = new core.fleet.RetryWindow(limits);
		const uncounts = Array.from({length: 6}, () => window.countRetry(4999));
		expect(window.allowsRetry(7, 5001)).to.equal(false);
		uncounts[0]!();
		expect(window.allowsRetry(7, 5001)).to.equal(true);
	});
});
