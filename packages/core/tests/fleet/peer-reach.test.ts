import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const query: core.fleet.HelperQuery = {
	pool: 'p', dataCentre: 'dc-1', excluded: new Set(), silentSince: 900,
};

describe('PeerReach', () => {
	let peers: core.fleet.PeerReach;
	const choose = (changes: Partial<core.fleet.HelperQuery> = {}, now = 1000, random = 0): string | undefined =>
		peers.choose({...query, ...changes}, () => random, now)?.vm;

	const tell = (vm: string, dataCentre: string, ageMs: number, now = 1000): void => {
		peers.applyDigest(vm, {relayAddress: `10.0.0.${vm.at(-1)}:7`, dataCentre, pools: [{pool: 'p', ageMs}]}, now);
	};

	beforeEach(() => {
		peers = new core.fleet.PeerReach();
	});

	it('chooses a VM that has had data from the pool since this one had none', () => {
		tell('vm-1', 'dc-1', 100);
		expect(choose()).to.equal(undefined);
		expect(peers.countReaching('p', 900, 1000)).to.equal(0);
		tell('vm-2', 'dc-2', 99);
		expect(choose()).to.equal('vm-2');
		expect(choose({pool: 'other'})).to.equal(undefined);
		expect(peers.countReaching('p', 900, 1000)).to.equal(1);
	});

	it('prefers VMs of the own data centre, and of two the one with fewer requests', () => {
		tell('vm-1', 'dc-2', 0);
		tell('vm-2', 'dc-1', 0);
		tell('vm-3', 'dc-1', 0);
		expect(choose()).to.equal('vm-2');
		peers.recordSent('vm-2');
		const draws = [0, 0.9];
		expect(peers.choose(query, () => draws.shift()!, 1000)?.vm).to.equal('vm-3');
		peers.recordEnd('vm-2');
		expect(choose({excluded: new Set(['vm-2', 'vm-3'])})).to.equal('vm-1');
	});

	it('does not choose a VM for half a second after it failed', () => {
		tell('vm-1', 'dc-1', 0);
		peers.recordFailure('vm-1', 1000);
		tell('vm-1', 'dc-1', 0, 1400);
		expect(choose({}, 1499)).to.equal(undefined);
		expect(choose({}, 1500)).to.equal('vm-1');
	});

	it('forgets what is old, and VMs that are no longer members', () => {
		tell('vm-1', 'dc-1', 0);
		expect(choose({}, 2500)).to.equal('vm-1');
		expect(choose({}, 2501)).to.equal(undefined);
		peers.retain(new Set(Array.from({length: 66}, (_, index) => `vm-${index}`)));
		expect(choose({}, 7600)).to.equal('vm-1');
		peers.retain(new Set());
		expect(choose()).to.equal(undefined);
	});
});
