import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const terms = core.fleet.defaultAdmissionLimits;

function choice(backlogMs: number, prefillTokens: number): core.fleet.EndpointChoice {
	return {
		candidate: support.createCandidate('a'), costMs: 0, backlogMs, firstTokenMs: 0, prefillTokens,
	};
}

function request(changes: Partial<core.fleet.WaitingRequest>): core.fleet.WaitingRequest {
	return {
		priority: 0, targetLatencyMs: 500, prefillTokens: 300, arrivedAt: 0, deadlineAt: 5000, ...changes,
	};
}

describe('hasRoom', () => {
	it('lets a large prompt start only on an engine that is nearly free, a small one up to near its target', () => {
		expect(core.fleet.canAdmit(choice(80, 17_000), 800, terms)).to.equal(true);
		expect(core.fleet.canAdmit(choice(81, 17_000), 800, terms)).to.equal(false);
		expect(core.fleet.canAdmit(choice(400, 300), 500, terms)).to.equal(true);
		expect(core.fleet.canAdmit(choice(401, 300), 500, terms)).to.equal(false);
	});
});

describe('compareWaiting', () => {
	function order(requests: Readonly<Record<string, core.fleet.WaitingRequest>>, now: number): string[] {
		return Object.entries(requests)
			.sort(([, a], [, b]) => core.fleet.compareWaitingRequests(a, b, now))
			.map(([name]) => name);
	}

	it('takes what can be in time by urgency and arrival, then late ones by deadline', () => {
		expect(order({
			late: request({arrivedAt: 0, deadlineAt: 9000}),
			'later deadline': request({arrivedAt: 0, deadlineAt: 12_000}),
			'less urgent': request({arrivedAt: 600, priority: 5}),
			second: request({arrivedAt: 900}),
			first: request({arrivedAt: 800}),
		}, 1000)).to.deep.equal(['first', 'second', 'less urgent', 'late', 'later deadline']);
	});
});

describe('decideWait', () => {
	const outlook: core.fleet.WaitConditions = {
		queuedTokens: 45_000, tokensPerMs: 45, timeLeftMs: 12_000, isRetry: false,
	};

	it('lets a request wait for a second', () => {
		expect(core.fleet.decideWait(outlook, terms)).to.deep.equal({mayWait: true, expectedMs: 1000});
	});

	it('refuses at once what would wait longer, with the time', () => {
		expect(core.fleet.decideWait({...outlook, queuedTokens: 90_000}, terms)).to.deep.equal({mayWait: false, expectedMs: 2000});
	});

	it('lets a request that came back wait for half of its time', () => {
		expect(core.fleet.decideWait({...outlook, queuedTokens: 225_000, isRetry: true}, terms).mayWait).to.equal(true);
		expect(core.fleet.decideWait({...outlook, queuedTokens: 315_000, isRetry: true}, terms).mayWait).to.equal(false);
	});

	it('refuses what can\'t begin before its deadline, and everything without engines', () => {
		expect(core.fleet.decideWait({...outlook, timeLeftMs: 900}, terms).mayWait).to.equal(false);
		expect(core.fleet.decideWait({...outlook, tokensPerMs: 0}, terms).mayWait).to.equal(false);
	});
});
