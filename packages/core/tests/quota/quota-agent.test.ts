import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const bounds = {windowMs: 8000, overshoot: 0.1, slack: 0};
const account = 'club';
const partition = core.quota.getPartition(account, 2);
const limits: core.quota.AccountQuota = {
	unit: core.quota.QuotaUnit.Tokens, unitsPerSecond: 1000, burst: 1000, defaultTokens: 1,
};
const vms = ['vm-1', 'vm-2'];
const keeper = core.quota.rankKeepers(vms).get(partition)![0]!;
const other = vms.find(vm => vm !== keeper)!;
/** Time at which both VMs lend their shares. */
const lendingAt = 3000;

function createAgent(vm: string, incarnation = '1'): core.quota.QuotaAgent {
	const agent = new core.quota.QuotaAgent({
		vm, incarnation: `${vm}/${incarnation}`, startedAt: 0, bounds, findQuota: name => name === account ? limits : undefined, admitsUnknown: () => false,
	});
	agent.setVms([vm === keeper ? other : keeper], 0);
	agent.setVms(vms, 0);
	agent.setAccounts([account]);
	return agent;
}

function createCall(agent: core.quota.QuotaAgent, now: number): core.quota.QuotaCall {
	agent.tick(now);
	return agent.takeCalls(now).find(({to}) => to === keeper)!.call;
}

describe('QuotaAgent', () => {
	let lender: core.quota.QuotaAgent;
	let holder: core.quota.QuotaAgent;

	beforeEach(() => {
		lender = createAgent(other);
		holder = createAgent(keeper);
		holder.tick(lendingAt);
		// The first call asks for the clock on which the loan is based.
		lender.receiveReply(holder.receiveCall(createCall(lender, lendingAt), lendingAt), lendingAt);
	});

	it('lends its share once it knows the clock of the keeper', () => {
		expect(holder.countHeldShares(lendingAt)).to.equal(0.5);
		const [loan] = lender.takeCalls(lendingAt);
		expect(loan!.call.loan).to.deep.include({partitions: [partition], share: 0.5});
		holder.receiveCall(loan!.call, lendingAt);
		expect(holder.countHeldShares(lendingAt)).to.equal(1);
	});

	it('holds a share by its own clock, no longer than the lender counts it as lent, however late the call is read', () => {
		const [{call}] = lender.takeCalls(lendingAt) as [core.quota.OutgoingCall];
		holder.receiveCall(call, lendingAt + 600);
		expect(holder.countHeldShares(lendingAt + 600), 'late').to.be.at.least(0.5);
		const endsAt = lendingAt + call.loan!.durationMs;
		holder.tick(endsAt - 1);
		expect(holder.countHeldShares(endsAt - 1), 'before its end').to.equal(1);
		expect(holder.countHeldShares(endsAt + 1), 'after its end').to.equal(0.5);
		// A suspended keeper reads the call when it wakes.
		holder.receiveCall(call, endsAt + 4000);
		holder.tick(endsAt + 4000);
		expect(holder.countHeldShares(endsAt + 4000), 'after a suspension').to.equal(0.5);
	});

	it('takes no loan that is based on the clock of an earlier process', () => {
		const [{call}] = lender.takeCalls(lendingAt) as [core.quota.OutgoingCall];
		const restarted = createAgent(keeper, '2');
		restarted.receiveCall(call, 10);
		expect(restarted.countHeldShares(10)).to.equal(0);
	});

	it('takes no loan of a VM that is not listed', () => {
		const [{call}] = lender.takeCalls(lendingAt) as [core.quota.OutgoingCall];
		holder.receiveCall({...call, vm: 'vm-9'}, lendingAt);
		expect(holder.countHeldShares(lendingAt)).to.equal(0.5);
	});

	it('uses its share itself only after the end of the loan to a keeper that does not respond', () => {
		lender.takeCalls(lendingAt);
		let firstUse = Infinity;
		for (let now = lendingAt; now < lendingAt + 3000 && firstUse === Infinity; now += 50) {
			lender.tick(now);
			lender.takeCalls(now);
			firstUse = lender.countHeldShares(now) > 0 ? now : Infinity;
		}

		const {minRenewalMs, loanFactor} = core.quota.defaultQuotaTimes;
		expect(firstUse - lendingAt).to.be.within(minRenewalMs * loanFactor, (minRenewalMs * loanFactor) + 100);
	});

	it('takes its share back at once from a keeper that shuts down, and the keeper uses none any more', () => {
		holder.receiveCall(lender.takeCalls(lendingAt)[0]!.call, lendingAt);
		const [{reply}] = holder.beginShutdown(lendingAt) as [core.quota.OutgoingReply];
		expect(holder.countHeldShares(lendingAt)).to.equal(0);
		lender.receiveReply(reply, lendingAt + 1);
		lender.tick(lendingAt + 1);
		expect(lender.countHeldShares(lendingAt + 1)).to.equal(0.5);
	});

	it('gives back a grant that comes a second time', () => {
		const id = lender.ask(account, 100, lendingAt + 500) as number;
		const call = lender.takeCalls(lendingAt + 500).find(({call: {asks}}) => asks.length > 0)!;
		const first = holder.receiveCall(call.call, lendingAt + 501);
		const second = holder.receiveCall({...call.call, loan: undefined}, lendingAt + 502);
		expect(lender.receiveReply(first, lendingAt + 503).map(decided => [decided.id, decided.decision.outcome])).to.deep.equal([[id, core.quota.QuotaOutcome.Granted]]);
		expect(lender.receiveReply(second, lendingAt + 504)).to.deep.equal([]);
		expect(lender.takeCalls(lendingAt + 504).flatMap(({call: {returned}}) => returned)).to.deep.equal([{account, units: 100}]);
	});

	it('does nothing for accounts without a quota', () => {
		const agent = createAgent(other);
		agent.setAccounts([]);
		agent.tick(lendingAt);
		expect(agent.hasOutgoing).to.equal(false);
	});
});

describe('QuotaBuckets', () => {
	it('keep a bounded number of buckets of accounts of which few are active', () => {
		const buckets = new core.quota.QuotaBuckets(bounds);
		const listAccounts = (count: number): string[] => Array.from({length: count}, (_, index) => `account-${index}`);
		for (let index = 0; index < core.quota.partitionIdLimit; index++) {
			buckets.setLoan(index, 'all', {share: 1, until: Infinity}, 0);
		}

		for (let second = 1; second <= 60; second++) {
			const now = second * 1000;
			for (const name of second === 1 ? listAccounts(10_000) : listAccounts(100)) {
				buckets.take({account: name, partition: core.quota.getPartition(name, 7), units: 500}, limits, now);
			}

			buckets.removeIdle(name => core.quota.getPartition(name, 7), () => limits, now);
		}

		expect(buckets.size).to.be.at.most(core.quota.defaultQuotaBucketsOptions.maxIdleBuckets);
	});

	it('apply a lower limit at once, and a higher one at once', () => {
		const buckets = new core.quota.QuotaBuckets(bounds);
		buckets.setLoan(0, 'all', {share: 1, until: Infinity}, 0);
		const take = (units: number, quota: core.quota.AccountQuota, now: number): core.quota.QuotaOutcome => buckets.take({account, partition: 0, units}, quota, now).outcome;
		expect(take(900, limits, 10_000)).to.equal(core.quota.QuotaOutcome.Granted);
		const lower = {...limits, unitsPerSecond: 100, burst: 100};
		expect(take(100, lower, 20_000)).to.equal(core.quota.QuotaOutcome.Granted);
		expect(take(100, lower, 20_500)).to.equal(core.quota.QuotaOutcome.Exceeded);
		expect(take(500, {...limits, burst: 5000}, 21_000)).to.equal(core.quota.QuotaOutcome.Granted);
	});
});
