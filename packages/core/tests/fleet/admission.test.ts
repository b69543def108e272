import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const limits = core.fleet.defaultAdmissionLimits;

function choice(backlogMs: number, prefillTokens: number): core.fleet.EndpointChoice {
	return {
		candidate: support.createCandidate('a'), costMs: 0, backlogMs, firstTokenMs: 0, prefillTokens,
	};
}

function request(changes: Partial<core.fleet.WaitingRequest>): core.fleet.WaitingRequest {
	return {
		priority: 0, targetLatencyMs: 500, prefillTokens: 300, arrivedAt: 0, deadlineAt: 5000, usageMark: 0, ...changes,
	};
}

describe('canAdmit', () => {
	it('admits a large prompt only to a nearly idle engine, and a small one up to a backlog near its target latency', () => {
		expect(core.fleet.canAdmit(choice(80, 17_000), 800, limits)).to.equal(true);
		expect(core.fleet.canAdmit(choice(81, 17_000), 800, limits)).to.equal(false);
		expect(core.fleet.canAdmit(choice(400, 300), 500, limits)).to.equal(true);
		expect(core.fleet.canAdmit(choice(401, 300), 500, limits)).to.equal(false);
	});
});

describe('compareWaitingRequests', () => {
	function order(requests: Readonly<Record<string, core.fleet.WaitingRequest>>, now: number): string[] {
		return Object.entries(requests)
			.sort(([, a], [, b]) => core.fleet.compareWaitingRequests(a, b, now))
			.map(([name]) => name);
	}

	it('orders requests within their target by priority and arrival, and late ones after them by deadline', () => {
		expect(order({
			late: request({arrivedAt: 0, deadlineAt: 9000}),
			'later deadline': request({arrivedAt: 0, deadlineAt: 12_000}),
			'less urgent': request({arrivedAt: 600, priority: 5}),
			second: request({arrivedAt: 900}),
			first: request({arrivedAt: 800}),
		}, 1000)).to.deep.equal(['first', 'second', 'less urgent', 'late', 'later deadline']);
	});

	it('orders requests of one priority by the usage of their accounts before their arrival, but for small differences', () => {
		expect(order({
			'high usage': request({arrivedAt: 500, usageMark: 0.7}),
			'small difference': request({arrivedAt: 800, usageMark: 0.01}),
			'low usage': request({arrivedAt: 700, usageMark: 0.09}),
			'less urgent': request({arrivedAt: 400, priority: 1, usageMark: 0}),
		}, 900)).to.deep.equal(['low usage', 'small difference', 'high usage', 'less urgent']);
	});
});

describe('decideWait', () => {
	const conditions: core.fleet.WaitConditions = {
		queuedTokens: 45_000, tokensPerMs: 45, timeLeftMs: 12_000, permitWaitMs: 0, targetLatencyMs: 500, isRetry: false,
	};

	it('lets a request wait when the expected wait is one second', () => {
		expect(core.fleet.decideWait(conditions, limits)).to.deep.equal({mayWait: true, expectedMs: 1000});
	});

	it('refuses a request that would wait longer, and returns the expected wait', () => {
		expect(core.fleet.decideWait({...conditions, queuedTokens: 90_000}, limits)).to.deep.equal({mayWait: false, expectedMs: 2000});
	});

	it('lets a retried request wait for up to half of its remaining time', () => {
		expect(core.fleet.decideWait({...conditions, queuedTokens: 225_000, isRetry: true}, limits).mayWait).to.equal(true);
		expect(core.fleet.decideWait({...conditions, queuedTokens: 315_000, isRetry: true}, limits).mayWait).to.equal(false);
	});

	it('refuses a request that can\'t begin before its deadline, and all requests without engines', () => {
		expect(core.fleet.decideWait({...conditions, timeLeftMs: 900}, limits).mayWait).to.equal(false);
		expect(core.fleet.decideWait({...conditions, tokensPerMs: 0}, limits).mayWait).to.equal(false);
	});
});
