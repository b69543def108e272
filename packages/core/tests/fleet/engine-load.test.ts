import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('EndpointLoads', () => {
	it('counts prompt tokens until the first token, and requests until their end', () => {
		const loads = new core.fleet.EndpointLoads();
		loads.begin('a', 'r1', 1000);
		loads.begin('a', 'r2', 500);
		expect([loads.prefillTokens('a'), loads.ownActive('a')]).to.deep.equal([1500, 2]);
		loads.start('a', 'r1');
		expect([loads.prefillTokens('a'), loads.ownActive('a')]).to.deep.equal([500, 2]);
		loads.end('a', 'r1');
		loads.end('a', 'r2');
		expect([loads.prefillTokens('a'), loads.ownActive('a')]).to.deep.equal([0, 0]);
		expect(loads.busyEndpoints()).to.deep.equal([]);
	});

	it('corrects a reported load by what this VM sent and ended since', () => {
		const loads = new core.fleet.EndpointLoads();
		loads.begin('a', 'r1', 0);
		loads.report('a', {running: 6, waiting: 2, slots: 8}, 0);
		loads.begin('a', 'r2', 0);
		expect(loads.active('a', 0, 100)).to.equal(9);
		loads.end('a', 'r1');
		loads.end('a', 'r2');
		expect(loads.active('a', 0, 100)).to.equal(7);
	});

	it('goes by what the VMs told each other once a report is old', () => {
		const loads = new core.fleet.EndpointLoads();
		loads.begin('a', 'r1', 0);
		loads.report('a', {running: 60, waiting: 2, slots: 8}, 0);
		expect(loads.active('a', 3, 1001)).to.equal(4);
		expect(loads.active('b', 3, 0)).to.equal(3);
	});
});
