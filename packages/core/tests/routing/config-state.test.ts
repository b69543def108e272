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

// Guards against CONFIG: revoked keys that stay valid for as long as the configuration that revokes them can't be applied.
describe('ConfigState whose newest configuration can not be applied', () => {
	const club: core.routing.ApiAccount = {name: 'club', keys: ['k1', 'k2'], isIsolated: true};
	const school: core.routing.ApiAccount = {name: 'school', keys: ['k3'], isIsolated: false};
	const keys = ['k1', 'k2', 'k3', 'k4'];
	const cases: ReadonlyArray<{
		readonly title: string;
		readonly accounts?: readonly core.routing.ApiAccount[];
		readonly newest: core.routing.UnreadableConfig;
		/** Account of each key; `undefined` if the key is invalid. */
		readonly holders: ReadonlyArray<string | undefined>;
		readonly ageMs: number;
	}> = [
		{
			title: 'keeps all keys while none can be read, and ages',
			accounts: [club, school], newest: {hasReadableKeys: false}, holders: ['club', 'club', 'school', undefined], ageMs: 900,
		},
		{
			title: 'keeps the keys that are listed for the same account, and adds none',
			accounts: [club, school],
			newest: {hasReadableKeys: true, accounts: [{name: 'club', keys: ['k2', 'k3', 'k4']}]},
			holders: [undefined, 'club', undefined, undefined],
			ageMs: 0,
		},
		{
			title: 'keeps no key if none is listed',
			accounts: [club, school], newest: {hasReadableKeys: true, accounts: []}, holders: [undefined, undefined, undefined, undefined], ageMs: 0,
		},
		{
			title: 'keeps all keys if none would be needed',
			accounts: [club, school], newest: {hasReadableKeys: true}, holders: ['club', 'club', 'school', undefined], ageMs: 0,
		},
		{
			title: 'adds no accounts if no keys are needed, and does not age',
			newest: {hasReadableKeys: true, accounts: [club]}, holders: [undefined, undefined, undefined, undefined], ageMs: 0,
		},
		{
			title: 'does not age if no keys are needed and none can be read',
			newest: {hasReadableKeys: false}, holders: [undefined, undefined, undefined, undefined], ageMs: 0,
		},
	];
	for (const {
		title, accounts, newest, holders, ageMs,
	} of cases) {
		it(title, () => {
			const state = new core.routing.ConfigState();
			state.accept(support.createConfig({version: 3, accounts}));
			state.confirm(100);
			state.withholdConfirmation(newest);
			state.confirm(1000);
			expect(keys.map(key => state.table?.findAccount(key)?.name)).to.deep.equal(holders);
			expect(state.table?.needsKeys).to.equal(accounts !== undefined);
			expect(state.table?.config.version).to.equal(3);
			expect(state.ageMs(1000)).to.equal(ageMs);
			expect(state.negativeAgeMs(1000)).to.equal(900);
			expect(state.accept(support.createConfig({version: 5, accounts: [club, school]}))).to.equal(true);
			state.confirm(1100);
			expect(state.ageMs(1100)).to.equal(0);
			expect(state.negativeAgeMs(1100)).to.equal(0);
			expect(keys.map(key => state.table?.findAccount(key)?.name)).to.deep.equal(['club', 'club', 'school', undefined]);
		});
	}
});

describe('configuration age limits', () => {
	it('allow keyed requests until shortly before the revocation limit, and negative responses until shortly before the propagation limit', () => {
		const ages = [0, 1800, 1801, 3500, 3501, Infinity];
		expect(ages.map(age => core.routing.allowsKeyedRequests(age, limits)))
			.to.deep.equal([true, true, true, true, false, false]);
		expect(ages.map(age => core.routing.allowsNegativeResponses(age, limits)))
			.to.deep.equal([true, true, false, false, false, false]);
	});

	it('leave time for a call after the longest time without a confirmation, where they allow that at all', () => {
		const propagations = [2000, 3000, 401, 400, 0];
		expect(propagations.map(propagationMs => core.routing.computeMaxUnconfirmedMs({...limits, propagationMs}))).to.deep.equal([1600, 2600, 1, Infinity, Infinity]);
	});

	it('allow keyed requests at any age when strict revocation is off', () => {
		expect(core.routing.allowsKeyedRequests(Infinity, {...limits, strictRevocation: false})).to.equal(true);
	});
});
