import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const maxGrantAgeMs = 400;

/** A source of units with a clock that tests move. */
class FakeQuotas {
	now = 0;
	/** How long the next asks take. */
	delaysMs: number[] = [];
	outcome = core.quota.QuotaOutcome.Granted;
	taken = 0;
	returned = 0;

	async take(_account: string, units: number): Promise<core.quota.DecidedAsk> {
		const askedAt = this.now;
		await Promise.resolve();
		this.now += this.delaysMs.shift() ?? 0;
		this.taken += this.outcome === core.quota.QuotaOutcome.Granted ? units : 0;
		return {
			id: 1, keeper: 'vm-2', askedAt, decision: {
				outcome: this.outcome, retryAfterMs: this.outcome === core.quota.QuotaOutcome.TooLarge ? Infinity : 700, availableUnits: 12.4, heldShare: 1, usage: 0.8,
			},
		};
	}

	giveBack(_account: string, units: number): void {
		this.returned += units;
	}

	createPermit(): gateway.call.QuotaPermit {
		return new gateway.call.QuotaPermit({
			account: 'club', units: 100, sample: 0.5, quotas: this, clock: {suspendAwareNow: () => this.now}, maxGrantAgeMs,
		});
	}
}

describe('QuotaPermit', () => {
	let quotas: FakeQuotas;
	let permit: gateway.call.QuotaPermit;

	beforeEach(() => {
		quotas = new FakeQuotas();
		permit = quotas.createPermit();
	});

	it('takes the units of each attempt once', async () => {
		await Promise.all([permit.acquire(), permit.acquire()]);
		await permit.acquire();
		expect(quotas.taken).to.equal(100);
		expect(permit.use()).to.equal(0);
		expect(permit.isValid).to.equal(false);
		expect(permit.use()).to.equal(undefined);
		await permit.acquire();
		expect(quotas.taken).to.equal(200);
	});

	it('gives units back that are too old to be used, and takes others', async () => {
		await permit.acquire();
		quotas.now = maxGrantAgeMs + 1;
		expect(permit.isValid).to.equal(false);
		await permit.acquire();
		expect(permit.use()).to.equal(quotas.now);
		expect([quotas.taken, quotas.returned]).to.deep.equal([200, 100]);
	});

	it('gives back a grant that comes too late to be used, and takes another one', async () => {
		quotas.delaysMs = [maxGrantAgeMs + 1, 10];
		expect(await permit.acquire()).to.equal(undefined);
		expect(permit.isValid).to.equal(true);
		expect([quotas.taken, quotas.returned]).to.deep.equal([200, 100]);
	});

	it('refuses, and holds nothing, where grants keep coming too late', async () => {
		quotas.delaysMs = [maxGrantAgeMs + 1, maxGrantAgeMs + 1, 10];
		const refusal = await permit.acquire();
		expect(refusal?.code).to.equal(gateway.call.RefusalCode.QuotaUnavailable);
		expect(permit.use()).to.equal(undefined);
		expect([quotas.taken, quotas.returned]).to.deep.equal([200, 200]);
	});

	it('holds the units of an attempt that was not executed for the next one, at the time of their grant', async () => {
		await permit.acquire();
		permit.restore(permit.use()!);
		expect(permit.isValid).to.equal(true);
		quotas.now = maxGrantAgeMs + 1;
		expect(permit.isValid).to.equal(false);
		expect([quotas.taken, quotas.returned]).to.deep.equal([100, 0]);
	});

	it('gives back once what is not used', async () => {
		await permit.acquire();
		const grantedAt = permit.use()!;
		permit.release();
		permit.release();
		expect(quotas.returned, 'in use').to.equal(0);
		permit.restore(grantedAt);
		expect(quotas.returned, 'not executed').to.equal(100);
	});

	it('gives back units that are granted after the request has ended', async () => {
		const acquired = permit.acquire();
		permit.release();
		await acquired;
		expect(quotas.returned).to.equal(100);
	});

	it('refuses with the figures of the decision', async () => {
		for (const [outcome, code, status, retryAfterMs] of [
			[core.quota.QuotaOutcome.Exceeded, gateway.call.RefusalCode.QuotaExceeded, 429, 700],
			[core.quota.QuotaOutcome.TooLarge, gateway.call.RefusalCode.QuotaTooSmall, 429, undefined],
			[core.quota.QuotaOutcome.Unavailable, gateway.call.RefusalCode.QuotaUnavailable, 503, 700],
		] as const) {
			quotas.outcome = outcome;
			const refusal = await permit.acquire(); // eslint-disable-line no-await-in-loop -- One after the other.
			expect(refusal).to.deep.equal({
				code, retryAfterMs, inputs: {
					account: 'club', units: 100, availableUnits: 12, heldShare: 1, keeper: 'vm-2',
				},
			});
			expect(gateway.call.getStatus(refusal!), outcome).to.equal(status);
		}
	});
});
