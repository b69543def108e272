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

	// Guards against digests that are ignored after a restart: the clock of the VM, from which it numbers them, was set back.
	it('uses the digests of a new process whatever their numbers, and no late ones of the process before', () => {
		const loads = new core.fleet.PeerLoads();
		loads.applyDigest({...digest('x', 2400, 5), process: 1}, 0);
		loads.applyDigest({...digest('x', 10, 1), process: 2}, 100);
		expect(loads.countActive('a', 100)).to.equal(1);
		loads.applyDigest({...digest('x', 2401, 5), process: 1}, 100);
		loads.applyDigest({...digest('x', 9, 4), process: 2}, 100);
		expect(loads.countActive('a', 100)).to.equal(1);
		loads.applyDigest({...digest('x', 11, 2), process: 2}, 100);
		loads.applyDigest({...digest('x', 3, 7), process: 3}, 100);
		expect(loads.countActive('a', 100)).to.equal(7);
	});

	it('uses the digests of a process of another build', () => {
		const loads = new core.fleet.PeerLoads();
		loads.applyDigest(digest('x', 2400, 5), 0);
		loads.applyDigest({...digest('x', 10, 1), process: 2}, 0);
		expect(loads.countActive('a', 0)).to.equal(1);
		loads.applyDigest(digest('x', 5, 3), 0);
		expect(loads.countActive('a', 0)).to.equal(3);
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
});
