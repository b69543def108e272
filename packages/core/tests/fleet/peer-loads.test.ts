import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

function digest(vm: string, sequence: number, active: number, sinceLastReceivedMs?: number): core.fleet.LoadDigest {
	return {
		vm,
		sequence,
		endpoints: [{
			endpoint: 'a', active, prefillTokens: active * 100, sinceLastReceivedMs,
		}],
		cacheObservations: [],
	};
}

describe('PeerLoads', () => {
	it('sums the latest digests of all VMs', () => {
		const loads = new core.fleet.PeerLoads();
		loads.applyDigest(digest('x', 1, 2), 0);
		loads.applyDigest(digest('y', 1, 3), 0);
		loads.applyDigest(digest('x', 2, 5), 0);
		expect(loads.countActive('a', 10)).to.equal(8);
		expect(loads.countPrefillTokens('a', 10)).to.equal(800);
		expect(loads.countActive('b', 10)).to.equal(0);
	});

	it('ignores digests that arrive out of order, and expired ones', () => {
		const loads = new core.fleet.PeerLoads();
		loads.applyDigest(digest('x', 2, 5), 0);
		loads.applyDigest(digest('x', 1, 9), 0);
		expect(loads.countActive('a', 1500)).to.equal(5);
		expect(loads.countActive('a', 1501)).to.equal(0);
	});

	it('returns the latest time at which any VM received data from an endpoint, and removes VMs that left', () => {
		const loads = new core.fleet.PeerLoads();
		loads.applyDigest(digest('x', 1, 1, 300), 1000);
		loads.applyDigest(digest('y', 1, 1, 50), 1000);
		expect(loads.lastReceivedAt('a')).to.equal(950);
		loads.retain(new Set(['x']));
		expect(loads.lastReceivedAt('a')).to.equal(700);
		expect(loads.lastReceivedAt('b')).to.equal(-Infinity);
	});

	it('returns for how long an endpoint with requests in flight has sent nothing to other VMs', () => {
		const loads = new core.fleet.PeerLoads();
		expect(loads.silentMs('a', 1000)).to.equal(0);
		loads.applyDigest(digest('x', 1, 1), 1000);
		expect(loads.silentMs('a', 1200)).to.equal(0);
		loads.applyDigest(digest('x', 2, 1), 1600);
		expect(loads.silentMs('a', 1700)).to.equal(700);
		loads.applyDigest(digest('y', 1, 1, 20), 1800);
		expect(loads.silentMs('a', 2500)).to.equal(0);
		loads.applyDigest(digest('x', 3, 1, 700), 2400);
		expect(loads.silentMs('a', 2500)).to.equal(720);
	});

	it('takes no endpoint for silent that nobody has sent requests, and none whose requests began a moment ago', () => {
		const loads = new core.fleet.PeerLoads();
		loads.applyDigest(digest('x', 1, 0, 60_000), 1000);
		expect(loads.silentMs('a', 2000)).to.equal(0);
		loads.applyDigest(digest('x', 2, 1, 61_000), 2000);
		expect(loads.silentMs('a', 2100)).to.equal(0);
	});
});
