import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

type Account = {
	readonly name: string;
	/** Units a second. */
	readonly quota: number;
	/** Units a second that its callers ask; the quota admits no more than itself. */
	readonly asked: number;
	readonly units: number;
};

type Scenario = {
	readonly vms: number;
	readonly accounts: readonly Account[];
	/** Units that the pool serves, relative to those that are asked within the quotas. */
	readonly capacity: number;
	/** Whether requests are marked with their account's usage. */
	readonly areMarked: boolean;
};

type Waiting = core.fleet.WaitingRequest & {readonly account: string};

const lengthMs = 20_000;
const stepMs = 10;
/** Units that a VM may serve at once. */
const maxCredit = 20_000;
/** Time in which the usage of the accounts becomes known. */
const warmUpMs = 5000;
const targetLatencyMs = 1000;

/** Inserts a request into a sorted queue, behind those of the same rank. No request of the queue is late, so that its order does not depend on the time. */
function insert(queue: Waiting[], request: Waiting, now: number): void {
	let low = 0;
	let high = queue.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (core.fleet.compareWaitingRequests(request, queue[middle]!, now) < 0) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	queue.splice(low, 0, request);
}

/** Plays callers of all accounts at VMs that each serve their queue from an equal part of the pool. @returns Served requests of each account, relative to those that its quota admits. */
function play({vms, accounts, capacity, areMarked}: Scenario): Map<string, number> {
	const random = new core.util.SeededRandom(1);
	const bounds = {windowMs: 8000, overshoot: 0.1, slack: 0};
	const buckets = new core.quota.QuotaBuckets(bounds);
	buckets.setLoan(0, 'all', {share: 1, until: Infinity}, 0);
	let askedUnits = 0;
	for (const {quota, asked} of accounts) {
		askedUnits += Math.min(quota, asked);
	}

	const unitsPerStep = askedUnits * capacity * stepMs / 1000 / vms;
	const queues = Array.from({length: vms}, (): Waiting[] => []);
	const arrived = Array.from({length: vms}, (): Waiting[] => []);
	const credits = Array.from({length: vms}, () => 0);
	const admitted = new Map<string, number>();
	const served = new Map<string, number>();
	const count = (counts: Map<string, number>, account: string): void => {
		counts.set(account, (counts.get(account) ?? 0) + 1);
	};

	for (let now = 0; now < lengthMs; now += stepMs) {
		for (const account of accounts) {
			const mean = account.asked / account.units * stepMs / 1000;
			const limits: core.quota.AccountQuota = {
				unit: core.quota.QuotaUnit.Tokens, unitsPerSecond: account.quota, burst: account.quota, defaultTokens: 1,
			};
			const arrivals = Math.floor(mean) + (random.int(1_000_000) < (mean % 1) * 1_000_000 ? 1 : 0);
			for (let index = 0; index < arrivals; index++) {
				const decision = buckets.take({account: account.name, partition: 0, units: account.units}, limits, now);
				if (decision.outcome !== core.quota.QuotaOutcome.Granted) {
					continue;
				}

				if (now >= warmUpMs) {
					count(admitted, account.name);
				}

				const arrivedAt = now + (random.int(1000) * stepMs / 1000);
				arrived[random.int(vms)]!.push({
					account: account.name,
					priority: 0,
					targetLatencyMs,
					prefillTokens: account.units,
					arrivedAt,
					deadlineAt: arrivedAt + targetLatencyMs,
					usageMark: areMarked ? decision.usage * random.int(1000) / 1000 : 0,
				});
			}
		}

		for (const [index, queue] of queues.entries()) {
			const sorted = queue.filter(({deadlineAt}) => deadlineAt > now);
			for (const request of arrived[index]!.splice(0)) {
				insert(sorted, request, now);
			}

			let credit = Math.min((credits[index] ?? 0) + unitsPerStep, Math.max(unitsPerStep, maxCredit));
			while (sorted[0] !== undefined && credit >= sorted[0].prefillTokens) {
				const next = sorted.shift()!;
				credit -= next.prefillTokens;
				if (next.arrivedAt >= warmUpMs) {
					count(served, next.account);
				}
			}

			queues[index] = sorted;
			credits[index] = credit;
		}
	}

	return new Map(accounts.map(({name}) => [name, (served.get(name) ?? 0) / admitted.get(name)!]));
}

/** Accounts of different sizes that ask about half of their quotas, and one that asks ten times its usual. */
function createAccounts(units: number, scale = 1): Account[] {
	const calm = [20_000, 30_000, 50_000, 100_000, 200_000].map((size, index) => ({
		name: `calm-${index}`, quota: scale * size, asked: 0.4 * scale * size, units,
	}));
	return [...calm, {
		name: 'hot', quota: scale * 300_000, asked: 5 * scale * 300_000, units,
	}];
}

describe('shares of accounts where a pool can\'t serve all', () => {
	for (const vms of [1, 7, 66]) {
		for (const units of [380, 5000]) {
			it(`serve the accounts that ask little beside one that asks ten times its usual: ${vms} VMs, requests of ${units} units`, () => {
				const scenario = {vms, accounts: createAccounts(units, vms), capacity: 0.75};
				const shares = play({...scenario, areMarked: true});
				for (const [name, share] of shares) {
					if (name === 'hot') {
						expect(share, name).to.be.within(0.45, 0.75);
					} else {
						expect(share, name).to.be.at.least(0.9);
					}
				}

				const unmarked = play({...scenario, areMarked: false});
				expect(Math.min(...[...unmarked].filter(([name]) => name !== 'hot').map(([, share]) => share)), 'without marks').to.be.lessThan(0.85);
			}).timeout(30_000);
		}
	}

	it('leave no account without service at a capacity of a third', () => {
		const shares = [...play({
			vms: 66, accounts: createAccounts(380, 10), capacity: 0.33, areMarked: true,
		}).values()];
		expect(Math.min(...shares)).to.be.at.least(0.33 / 4);
	}).timeout(30_000);

	it('use all capacity', () => {
		const shares = [...play({
			vms: 7, accounts: createAccounts(380), capacity: 1.2, areMarked: true,
		}).values()];
		expect(Math.min(...shares)).to.be.at.least(0.97);
	}).timeout(30_000);
});
