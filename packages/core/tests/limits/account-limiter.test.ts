import {expect} from 'chai';
import fc from 'fast-check';
import * as core from '@bluebellmast/core';

const account: core.model.ClientAccount = {
	id: 'club', keyHashes: [], share: 1, allowed: [], limits: {requestsPerSecond: 50, burst: 20, tokensPerSecond: 1000},
};

describe('account limiter', () => {
	it('admits the burst of an account, then returns the time until a retry can succeed', () => {
		let limiter = core.limits.createAccountLimiter();
		let admitted = 0;
		let waitMs = 0;
		for (let index = 0; index < 25; index += 1) {
			const admission = core.limits.admitRequest(limiter, account, 1, 0);
			limiter = admission.limiter;
			waitMs = admission.waitMs;
			admitted += waitMs === 0 ? 1 : 0;
		}

		expect(admitted).to.equal(20);
		expect(waitMs).to.equal(20);
		expect(core.limits.admitRequest(limiter, account, 1, 20).waitMs).to.equal(0);
	});

	it('refuses requests until the tokens that earlier responses used are refilled', () => {
		const used = core.limits.countUsage(core.limits.createAccountLimiter(), account, {requests: 0, tokens: 1500}, 0);
		expect(core.limits.admitRequest(used, account, 1, 0).waitMs).to.equal(501);
		expect(core.limits.admitRequest(used, account, 1, 501).waitMs).to.equal(0);
	});

	it('counts each record of another router once, and takes its first record as the baseline', () => {
		const baseline = core.limits.nextUsageRecord(
			core.limits.countUsage(core.limits.createAccountLimiter(), account, {requests: 15, tokens: 0}, 0),
			{vm: 'vm2', incarnation: 'i'},
		);
		let {limiter} = core.limits.admitRequest(core.limits.createAccountLimiter(), account, 0, 0);
		limiter = core.limits.applyUsageRecord(limiter, baseline.record, [account], 0);
		expect(limiter.buckets.get('club')!.requests).to.equal(19);
		const update = core.limits.nextUsageRecord(
			core.limits.countUsage(baseline.limiter, account, {requests: 5, tokens: 0}, 0),
			{vm: 'vm2', incarnation: 'i'},
		);
		limiter = core.limits.applyUsageRecord(limiter, update.record, [account], 0);
		expect(core.limits.applyUsageRecord(limiter, update.record, [account], 0)).to.equal(limiter);
		expect(limiter.buckets.get('club')!.requests).to.equal(14);
	});

	it('limits the wait of an account regardless of how much other routers have admitted', () => {
		const identity = {vm: 'vm2', incarnation: 'i'};
		const idle = core.limits.nextUsageRecord(core.limits.createAccountLimiter(), identity);
		const busy = core.limits.nextUsageRecord(
			core.limits.countUsage(idle.limiter, account, {requests: 100_000, tokens: 10_000_000}, 0),
			identity,
		);
		let limiter = core.limits.createAccountLimiter();
		for (const {record} of [idle, busy]) {
			limiter = core.limits.applyUsageRecord(limiter, record, [account], 0);
		}

		expect(core.limits.admitRequest(limiter, account, 1, 0).waitMs).to.be.within(2000, 2100);
	});

	it('admits at least 0.9 times the rate of an account over all routers, and at most 1.25 times the rate and a burst per router', () => {
		const arbitrary = fc.record({
			routers: fc.integer({min: 1, max: 7}), overloadFactor: fc.integer({min: 2, max: 6}), lossPercent: fc.constantFrom(0, 30), sendsToOneRouter: fc.boolean(),
		});
		fc.assert(fc.property(arbitrary, ({routers, overloadFactor, lossPercent, sendsToOneRouter}) => {
			let limiters = Array.from({length: routers}, () => core.limits.createAccountLimiter());
			const {requestsPerSecond, burst} = account.limits;
			const seconds = 30;
			let admitted = 0;
			let turn = 0;
			for (let now = 0; now < seconds * 1000; now += 20) {
				for (let index = 0; index < overloadFactor; index += 1) {
					turn += 1;
					const router = sendsToOneRouter ? 0 : turn % routers;
					const admission = core.limits.admitRequest(limiters[router]!, account, 1, now);
					limiters[router] = admission.limiter;
					admitted += admission.waitMs === 0 ? 1 : 0;
				}

				if (now % 200 === 0) {
					const records = limiters.map((limiter, index) => core.limits.nextUsageRecord(limiter, {vm: `vm${index}`, incarnation: 'i'}));
					limiters = records.map(({limiter}, index) => {
						let next = limiter;
						for (const [sender, {record}] of records.entries()) {
							const isLost = ((now / 200) + (sender * 7) + (index * 13)) % 100 < lossPercent;
							next = sender === index || isLost ? next : core.limits.applyUsageRecord(next, record, [account], now);
						}

						return next;
					});
				}
			}

			const allowed = (requestsPerSecond * seconds) + (burst * routers);
			expect(admitted).to.be.at.least(requestsPerSecond * seconds * 0.9);
			expect(admitted).to.be.at.most(allowed * 1.25);
		}), {seed: 4, numRuns: 40});
	}).timeout(60_000);
});

describe('concurrency limit', () => {
	const limit = core.limits.createConcurrencyLimit(40, 4);
	const cases: Array<[string, core.limits.PoolLoad, number, (before: number, after: number) => boolean]> = [
		['decreases while requests queue at endpoints', {running: 40, queued: 20}, 12, (before, after) => after < before],
		['increases while it is used and no requests queue', {running: 30, queued: 0}, 12, (before, after) => after > before],
		['is unchanged while it is not used', {running: 5, queued: 0}, 1, (before, after) => after === before],
	];
	for (const [title, load, inFlight, holds] of cases) {
		it(title, () => {
			expect(holds(limit.limit, core.limits.adaptLimit(limit, load, inFlight, 0).limit)).to.equal(true);
		});
	}

	it('decreases once within the decrease interval, and scales with the number of routers', () => {
		const load = {running: 40, queued: 20};
		const lowered = core.limits.adaptLimit(limit, load, 12, 0);
		expect(core.limits.adaptLimit(lowered, load, 12, 100)).to.equal(lowered);
		expect(core.limits.resizeLimit(limit, 40, 8).limit).to.equal(limit.limit / 2);
	});
});
