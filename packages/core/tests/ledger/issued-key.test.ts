import {expect} from 'chai';
import fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {VerdictType: verdictType, AttemptResult: attemptResult, IssuedKeyRoute: route} = core.ledger;

const key: core.ledger.IssuedKey = {
	vm: 'vm1', incarnation: 'i1', issuedAt: 1000, account: 'club', nonce: 'n1',
};
const options = core.ledger.createIssuedKeyOptions({lifetimeMs: 100, retentionMs: 1000, maxUses: 2});

function createRegistryAt(now: number): core.ledger.IssuedKeyRegistry {
	return core.ledger.recordKeyIssue(core.ledger.createIssuedKeyRegistry(options), now);
}

function begin(registry: core.ledger.IssuedKeyRegistry, attempt: string, now = 1000, digest = 'd') {
	return core.ledger.beginIssuedAttempt(registry, key, {digest, attempt}, now);
}

describe('issued key', () => {
	it('is unchanged after formatting and parsing', () => {
		const part = fc.string({minLength: 1, unit: 'grapheme'});
		const keys = fc.record({
			vm: part, incarnation: part, account: part, nonce: part, issuedAt: fc.nat(),
		});
		fc.assert(fc.property(keys, item => {
			const text = core.ledger.formatIssuedKey(item);
			expect(text).to.match(/^[!-~]+$/);
			expect(core.ledger.parseIssuedKey(text)).to.deep.equal(item);
		}), {seed: 4});
	});

	it('does not parse a text in another format', () => {
		for (const text of ['', 'booking-17', 'bbm1.a.b.c', 'bbm1.a.b.!.d.e', 'bbm1.a.b.c.%.e', 'bbm2.a.b.c.d.e']) {
			expect(core.ledger.parseIssuedKey(text)).to.equal(undefined);
		}
	});

	const isLive = (vm: string, incarnation: string) => `${vm}/${incarnation}` === 'vm1/i1';
	const routes: Array<[core.ledger.IssuedKeyRoute, string, string, string]> = [
		[route.Local, 'vm1', 'i1', 'club'],
		[route.IssuerGone, 'vm1', 'i2', 'club'],
		[route.Forward, 'vm2', 'i9', 'club'],
		[route.OtherAccount, 'vm1', 'i1', 'school'],
	];
	for (const [expected, vm, incarnation, account] of routes) {
		it(`is routed as ${expected} at ${vm}/${incarnation} for account ${account}`, () => {
			expect(core.ledger.routeIssuedKey(key, {account, self: {vm, incarnation}, isLive})).to.equal(expected);
		});
	}

	it('is not forwarded when its issuing incarnation is not a live member', () => {
		const self = {vm: 'vm2', incarnation: 'i9'};
		expect(core.ledger.routeIssuedKey(key, {account: 'club', self, isLive: () => false})).to.equal(route.IssuerGone);
	});
});

describe('IssuedKeyRegistry', () => {
	it('allows one attempt to send and replays its response', () => {
		const first = begin(createRegistryAt(1000), 'a1');
		expect(first.verdict.type).to.equal(verdictType.Proceed);
		expect(begin(first.registry, 'a2').verdict.type).to.equal(verdictType.InProgress);
		const claim = core.ledger.claimIssuedSend(first.registry, 'n1', 'a1');
		expect(claim.allowed).to.equal(true);
		expect(core.ledger.claimIssuedSend(claim.registry, 'n1', 'a1').allowed).to.equal(false);
		const outcome = {status: 201, body: new TextEncoder().encode('pitch 4')};
		const done = core.ledger.settleIssuedAttempt(claim.registry, 'n1', {attempt: 'a1', result: attemptResult.ResponseComplete, outcome});
		expect(begin(done, 'a3').verdict).to.deep.equal({type: verdictType.Replay, attempt: 'a3', outcome});
		expect(begin(done, 'a4', 1000, 'other').verdict.type).to.equal(verdictType.KeyReused);
	});

	it('does not reuse a key whose outcome is unknown, but reuses one whose request was not sent', () => {
		const first = begin(createRegistryAt(1000), 'a1').registry;
		const sent = core.ledger.claimIssuedSend(first, 'n1', 'a1').registry;
		const lost = core.ledger.settleIssuedAttempt(sent, 'n1', {attempt: 'a1', result: attemptResult.ResponseLost});
		expect(begin(lost, 'a2').verdict.type).to.equal(verdictType.OutcomeUnknown);
		const unsent = core.ledger.settleIssuedAttempt(first, 'n1', {attempt: 'a1', result: attemptResult.NeverSent});
		expect(begin(unsent, 'a2').verdict.type).to.equal(verdictType.Proceed);
	});

	const times: Array<[string, number, number, core.ledger.VerdictType]> = [
		['before its issue', 900, 900, verdictType.Expired],
		['within its lifetime', 1000, 1099, verdictType.Proceed],
		['after its lifetime', 1000, 1100, verdictType.Expired],
		['after its retention', 1000, 2100, verdictType.OutcomeUnknown],
		['after its lifetime when the clock was set back', 1200, 1000, verdictType.Expired],
	];
	for (const [title, issuedAt, now, expected] of times) {
		it(`returns ${expected} ${title}`, () => {
			expect(begin(createRegistryAt(issuedAt), 'a1', now).verdict.type).to.equal(expected);
		});
	}

	it('executes no key twice for generated uses, times and removals of expired uses', () => {
		const step = fc.tuple(fc.nat(3), fc.integer({min: -50, max: 400}), fc.constantFrom(...Object.values(attemptResult)));
		fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
			let registry = createRegistryAt(1000);
			let now = 1000;
			const executions = new Map<string, number>();
			for (const [index, [nonceIndex, ms, result]] of steps.entries()) {
				now += ms;
				registry = core.ledger.removeExpiredUses(registry, now);
				const nonce = `n${nonceIndex}`;
				const attempt = `a${index}`;
				registry = core.ledger.beginIssuedAttempt(registry, {...key, nonce}, {digest: 'd', attempt}, now).registry;
				expect(registry.uses.size).to.be.at.most(options.maxUses);
				const claim = core.ledger.claimIssuedSend(registry, nonce, attempt);
				registry = claim.registry;
				if (claim.allowed) {
					const isExecuted = result !== attemptResult.RefusedBeforeExecution && result !== attemptResult.NeverSent;
					executions.set(nonce, (executions.get(nonce) ?? 0) + (isExecuted ? 1 : 0));
					registry = core.ledger.settleIssuedAttempt(registry, nonce, {attempt, result: result === attemptResult.NeverSent ? attemptResult.RefusedBeforeExecution : result});
				}

				expect(executions.get(nonce) ?? 0).to.be.at.most(1);
			}
		}), {seed: 4, numRuns: 500});
	});
});
