import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const terms: core.fleet.RetryWindowLimits = {ratio: 0.2, slack: 54, windowMs: 10_000};

describe('RetryWindow', () => {
	it('allows a VM its part of the slack without any requests', () => {
		const window = new core.fleet.RetryWindow(terms);
		let allowed = 0;
		while (window.allowsRetry(7, 0)) {
			window.countRetry(0);
			allowed += 1;
		}

		expect(allowed).to.equal(6);
	});

	it('allows more with more requests, and again when the window is over', () => {
		const window = new core.fleet.RetryWindow(terms);
		for (let count = 0; count < 300; count++) {
			window.countRequest(0);
			window.countRetry(0);
		}

		expect(window.allowsRetry(7, 0)).to.equal(false);
		expect(window.allowsRetry(7, 14_999)).to.equal(false);
		expect(window.allowsRetry(7, 15_000)).to.equal(true);
	});

	it('keeps the bound over all VMs in every sliding window, whatever the requests', () => {
		const step = fastCheck.record({
			vm: fastCheck.nat({max: 3}), gapMs: fastCheck.nat({max: 400}), wantsRepeat: fastCheck.boolean(),
		});
		fastCheck.assert(fastCheck.property(fastCheck.array(step, {minLength: 50, maxLength: 400}), steps => {
			const windows = Array.from({length: 4}, () => new core.fleet.RetryWindow(terms));
			const requests: number[] = [];
			const repeats: number[] = [];
			let now = 0;
			for (const {vm, gapMs, wantsRepeat} of steps) {
				now += gapMs;
				windows[vm]!.countRequest(now);
				requests.push(now);
				for (let count = 0; count < (wantsRepeat ? 100 : 0) && windows[vm]!.allowsRetry(4, now); count++) {
					windows[vm]!.countRetry(now);
					repeats.push(now);
				}
			}

			const countIn = (times: readonly number[], from: number): number =>
				times.filter(time => time >= from && time < from + terms.windowMs).length;
			return repeats.every(from => {
				const counted = [from, from - terms.windowMs, from - (terms.windowMs / 2)].map(start => countIn(requests, start));
				return countIn(repeats, from) <= (terms.ratio * Math.max(...counted)) + terms.slack;
			});
		}), {seed: 11, numRuns: 200});
	});
});
