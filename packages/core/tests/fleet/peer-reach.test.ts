import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const query: core.fleet.HelperQuery = {
	pool: 'p', dataCentre: 'dc-1', receivers: new Set(), silentSince: 900,
};

describe('PeerReach', () => {
	let peers: core.fleet.PeerReach;
	const tell = (vm: string, dataCentre: string, ageMs: number, now = 1000): void => {
		peers.applyDigest(vm, {tunnelAddress: `10.0.0.${vm.at(-1)}:7`, dataCentre, pools: [{pool: 'p', ageMs}]}, now);
	};

	const choose = (changes: Partial<core.fleet.HelperQuery> = {}, now = 1000, random = 0): string | undefined =>
		peers.choose({...query, ...changes}, () => random, now)?.vm;

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

	it('prefers VMs that had data from the endpoint, then those of the own data centre, each as often', () => {
		tell('vm-1', 'dc-2', 0);
		tell('vm-2', 'dc-1', 0);
		tell('vm-3', 'dc-1', 0);
		expect([0, 0.49, 0.5, 0.99].map(random => choose({}, 1000, random))).to.deep.equal(['vm-2', 'vm-2', 'vm-3', 'vm-3']);
		expect(choose({receivers: new Set(['vm-1'])})).to.equal('vm-1');
		expect(choose({receivers: new Set(['vm-1', 'vm-3'])})).to.equal('vm-3');
		expect(choose({receivers: new Set(['vm-9'])})).to.equal('vm-2');
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
