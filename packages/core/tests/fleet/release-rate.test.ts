import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('ReleaseRate', () => {
	it('is unknown until requests have waited for half a second and some were released', () => {
		const rate = new core.fleet.ReleaseRate();
		expect(rate.tokensPerMs(0)).to.equal(Infinity);
		rate.recordWaiting(0);
		expect(rate.tokensPerMs(900)).to.equal(Infinity);
		rate.recordRelease(450, 900);
		expect(rate.tokensPerMs(900)).to.equal(0.5);
	});

	it('follows changes, and begins anew when no request waits any more', () => {
		const rate = new core.fleet.ReleaseRate();
		rate.recordWaiting(0);
		for (let now = 100; now <= 20_000; now += 100) {
			rate.recordRelease(now <= 10_000 ? 1000 : 100, now);
		}

		expect(rate.tokensPerMs(20_000)).to.be.within(1, 1.3);
		rate.recordEmpty();
		rate.recordWaiting(30_000);
		expect(rate.tokensPerMs(30_400)).to.equal(Infinity);
	});
});
