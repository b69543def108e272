import * as chai from 'chai';
import * as support from '../support/gateway-config.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const limits: core.routing.ConfigAgeLimits = {revocationMs: 5000, propagationMs: 2000, strictRevocation: true};

describe('ConfigState', () => {
	it('accepts only newer versions', () => {
		const state = new core.routing.ConfigState();
		expect(state.accept(support.createConfig({version: 7}))).to.equal(true);
		expect(state.accept(support.createConfig({version: 5}))).to.equal(false);
		expect(state.accept(support.createConfig({version: 7}))).to.equal(false);
		expect(state.table?.config.version).to.equal(7);
	});

	it('measures its age from the start of the last confirming call, and has an infinite age before the first configuration', () => {
		const state = new core.routing.ConfigState();
		state.confirm(100);
		expect(state.ageMs(150)).to.equal(Infinity);
		state.accept(support.createConfig());
		expect(state.ageMs(150)).to.equal(50);
		state.confirm(80);
		expect(state.ageMs(150)).to.equal(50);
	});

	it('measures the age for negative responses from when the store responded at the earliest', () => {
		const state = new core.routing.ConfigState();
		state.confirm(100, 1100);
		expect(state.negativeAgeMs(1150)).to.equal(Infinity);
		state.accept(support.createConfig());
		expect(state.negativeAgeMs(1150)).to.equal(50);
		expect(state.ageMs(1150)).to.equal(1050);
		state.confirm(1110);
		expect(state.negativeAgeMs(1150)).to.equal(40);
		state.confirm(1105, 1106);
		expect(state.negativeAgeMs(1150)).to.equal(40);
	});
});

describe('configuration age limits', () => {
	it('allow keyed requests until shortly before the revocation limit, and negative responses until shortly before the propagation limit', () => {
		const ages = [0, 1800, 1801, 3500, 3501, Infinity];
		expect(ages.map(age => core.routing.allowsKeyedRequests(age, limits)))
			.to.deep.equal([true, true, true, true, false, false]);
		expect(ages.map(age => core.routing.allowsNegativeResponses(age, limits)))
			.to.deep.equal([true, true, false, false, false, false]);
	});

	it('allow keyed requests at any age when strict revocation is off', () => {
		expect(core.routing.allowsKeyedRequests(Infinity, {...limits, strictRevocation: false})).to.equal(true);
	});
});
