import * as chai from 'chai';
import * as support from '../support/gateway-config.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const terms: core.routing.ConfigAgeLimits = {revocationMs: 5000, propagationMs: 2000, strictRevocation: true};

describe('ConfigState', () => {
	it('goes only forwards', () => {
		const state = new core.routing.ConfigState();
		expect(state.accept(support.createConfig({version: 7}))).to.equal(true);
		expect(state.accept(support.createConfig({version: 5}))).to.equal(false);
		expect(state.accept(support.createConfig({version: 7}))).to.equal(false);
		expect(state.table?.config.version).to.equal(7);
	});

	it('counts its age from the start of the last confirming call, and knows none before the first configuration', () => {
		const state = new core.routing.ConfigState();
		state.confirm(100);
		expect(state.ageMs(150)).to.equal(Infinity);
		state.accept(support.createConfig());
		expect(state.ageMs(150)).to.equal(50);
		state.confirm(80);
		expect(state.ageMs(150)).to.equal(50);
	});
});

describe('trust in a configuration', () => {
	it('ends for keyed requests before the bound of revocation, for negative answers before the bound of propagation', () => {
		const ages = [0, 1800, 1801, 3500, 3501, Infinity];
		expect(ages.map(age => core.routing.allowsKeyedRequests(age, terms)))
			.to.deep.equal([true, true, true, true, false, false]);
		expect(ages.map(age => core.routing.allowsNegativeAnswers(age, terms)))
			.to.deep.equal([true, true, false, false, false, false]);
	});

	it('does not end for keyed requests where revocation need not hold on VMs that are cut off', () => {
		expect(core.routing.allowsKeyedRequests(Infinity, {...terms, strictRevocation: false})).to.equal(true);
	});
});
