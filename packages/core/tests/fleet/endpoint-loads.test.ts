import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('EndpointLoads', () => {
	it('counts prompt tokens until the first token and requests until their end', () => {
		const loads = new core.fleet.EndpointLoads();
		loads.addRequest('a', 'r1', 1000);
		loads.addRequest('a', 'r2', 500);
		expect([loads.countPrefillTokens('a'), loads.countOwnActive('a')]).to.deep.equal([1500, 2]);
		loads.endPrefill('a', 'r1');
		expect([loads.countPrefillTokens('a'), loads.countOwnActive('a')]).to.deep.equal([500, 2]);
		loads.removeRequest('a', 'r1');
		loads.removeRequest('a', 'r2');
		expect([loads.countPrefillTokens('a'), loads.countOwnActive('a')]).to.deep.equal([0, 0]);
		expect(loads.listBusyEndpoints()).to.deep.equal([]);
	});

	it('corrects a reported load by the requests that this VM sent and finished since', () => {
		const loads = new core.fleet.EndpointLoads();
		loads.addRequest('a', 'r1', 0);
		loads.setReportedLoad('a', {running: 6, waiting: 2, slots: 8}, 0);
		loads.addRequest('a', 'r2', 0);
		expect(loads.countActive('a', 0, 100)).to.equal(9);
		loads.removeRequest('a', 'r1');
		loads.removeRequest('a', 'r2');
		expect(loads.countActive('a', 0, 100)).to.equal(7);
	});

	it('uses the counts of this VM and of digests once a report is old', () => {
		const loads = new core.fleet.EndpointLoads();
		loads.addRequest('a', 'r1', 0);
		loads.setReportedLoad('a', {running: 60, waiting: 2, slots: 8}, 0);
		expect(loads.countActive('a', 3, 1001)).to.equal(4);
		expect(loads.countActive('b', 3, 0)).to.equal(3);
	});
});
