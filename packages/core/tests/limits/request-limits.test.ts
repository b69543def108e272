import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const endpoint = {id: 'e-1', bornAt: 5};

function state(limits: core.limits.RequestLimits, requestsPerSecond: number | undefined, now: number): void {
	const limit = requestsPerSecond === undefined ? undefined : {requestsPerSecond, text: String(requestsPerSecond)};
	limits.record(endpoint, {limit, isAuthoritative: true}, now);
}

describe('limits that endpoints state', () => {
	let limits: core.limits.RequestLimits;

	beforeEach(() => {
		limits = new core.limits.RequestLimits('vm-1');
	});

	it('hold until a later response states none', () => {
		state(limits, 4.3, 1000);
		expect(limits.getRate(endpoint)).to.equal(4.3);
		state(limits, 2, 1100);
		expect(limits.getRate(endpoint)).to.equal(2);
		state(limits, 9, 1200);
		expect(limits.getRate(endpoint)).to.equal(9);
		state(limits, undefined, 2000);
		expect(limits.getRate(endpoint)).to.equal(undefined);
		expect(limits.takeChanges().map(change => change.requestsPerSecond)).to.deep.equal([4.3, 2, 9, undefined]);
	});

	it('are not ended by a response without one that follows at once, since responses overtake each other', () => {
		state(limits, 4.3, 1000);
		state(limits, undefined, 1400);
		expect(limits.getRate(endpoint)).to.equal(4.3);
		state(limits, undefined, 1500);
		expect(limits.getRate(endpoint)).to.equal(undefined);
	});

	it('are not ended by a response that need not state them', () => {
		state(limits, 4.3, 1000);
		limits.record(endpoint, {limit: undefined, isAuthoritative: false}, 5000);
		expect(limits.getRate(endpoint)).to.equal(4.3);
	});

	it('are ignored if they are invalid, which is reported once per incarnation', () => {
		state(limits, 4.3, 1000);
		for (const [bornAt, text] of [[5, 'abc'], [5, '-1'], [6, '0']] as const) {
			limits.record({id: 'e-1', bornAt}, {limit: {requestsPerSecond: undefined, text}, isAuthoritative: true}, 3000);
		}

		expect(limits.getRate(endpoint)).to.equal(4.3);
		expect(limits.takeInvalid()).to.deep.equal([{endpoint: 'e-1', text: 'abc'}, {endpoint: 'e-1', text: '0'}]);
	});

	it('hold for one incarnation', () => {
		state(limits, 4.3, 1000);
		expect(limits.getRate({id: 'e-1', bornAt: 6})).to.equal(undefined);
		limits.record({id: 'e-1', bornAt: 4}, {limit: {requestsPerSecond: 1, text: '1'}, isAuthoritative: true}, 1100);
		expect(limits.getRate(endpoint), 'a late response of an earlier incarnation').to.equal(4.3);
		limits.removeEnded(() => undefined, 2000);
		expect(limits.getRate(endpoint), 'not listed').to.equal(4.3);
		limits.removeEnded(() => 6, 2500);
		expect(limits.getRate(endpoint)).to.equal(undefined);
		expect(limits.takeChanges().at(-1)).to.include({isReplaced: true, limitedMs: 1500});
	});

	it('are given up a while after the last response if the endpoint is not listed, or its permits belong to other VMs', () => {
		state(limits, 4.3, 1000);
		limits.removeEnded(() => undefined, 30_000);
		expect(limits.getRate(endpoint)).to.equal(4.3);
		limits.removeEnded(() => undefined, 31_000);
		expect(limits.hasLimits).to.equal(false);
		state(limits, 0.3, 40_000);
		limits.removeEnded(() => 5, 80_000);
		expect(limits.getRate(endpoint), 'this VM may find out that it has ended').to.equal(0.3);
		const others = Array.from({length: 20}, (_, index) => `other-${index}`);
		limits.setVms([...others, 'vm-1']);
		expect(limits.waitMs(endpoint, 80_000)).to.equal(Infinity);
		limits.removeEnded(() => 5, 80_000);
		expect(limits.getRate(endpoint)).to.equal(undefined);
	});

	it('pass from one VM to another, the latest statement first', () => {
		const other = new core.limits.RequestLimits('vm-2');
		state(limits, 4.3, 1000);
		other.applyDigest(limits.takeDigest(4, 1200), 1300);
		expect(other.getRate(endpoint)).to.equal(4.3);
		state(limits, undefined, 2000);
		const ended = limits.takeDigest(4, 2000);
		other.record(endpoint, {limit: {requestsPerSecond: 2, text: '2'}, isAuthoritative: true}, 3000);
		other.applyDigest(ended, 2100);
		expect(other.getRate(endpoint), 'stated later').to.equal(2);
		other.applyDigest([{...ended[0]!, ageMs: 0}], 4000);
		expect(other.getRate(endpoint)).to.equal(undefined);
	});

	it('report how much was sent under each', () => {
		limits.countSend(endpoint);
		state(limits, 4.3, 1000);
		limits.countSend(endpoint);
		limits.countSend(endpoint);
		state(limits, 2, 1100);
		limits.countSend(endpoint);
		state(limits, undefined, 2000);
		expect(limits.takeChanges().map(({sends, isFromPeer}) => [sends, isFromPeer])).to.deep.equal([[0, false], [2, false], [1, false]]);
	});
});
