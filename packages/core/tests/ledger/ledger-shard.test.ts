import {expect} from 'chai';
import fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {VerdictType: verdictType, EntryState: entryState} = core.ledger;

const options = core.ledger.createLedgerOptions({
	maxShardBytesForIntents: 3000, maxShardBytes: 4000, maxOutcomeBytes: 500, retentionMs: 1000, withdrawnRetentionMs: 100,
});
const rules = {options, isLive: (vm: string, incarnation: string) => vm === 'vm1' && incarnation === 'i1'};

function intentWith(changes: Partial<core.ledger.Intent> = {}): core.ledger.Intent {
	return {
		account: 'club', key: 'k', digest: 'd', vm: 'vm1', incarnation: 'i1', attempt: 'a1', at: 0, ...changes,
	};
}

function entryWith(changes: Partial<core.ledger.LedgerEntry> = {}): core.ledger.LedgerEntry {
	return {...intentWith(), state: entryState.Intent, ...changes};
}

function evaluate(entry: core.ledger.LedgerEntry | undefined, intent: core.ledger.Intent, now = 10) {
	const shard = core.ledger.createShard(entry === undefined ? [] : [entry]);
	return core.ledger.proposeIntents(shard, [intent], now, rules);
}

describe('proposeIntents', () => {
	const other = intentWith({attempt: 'a2'});
	const outcome = {status: 201, body: new TextEncoder().encode('pitch 4')};
	const cases: Array<[string, core.ledger.LedgerEntry | undefined, core.ledger.Intent, core.ledger.VerdictType, boolean]> = [
		['an unused key', undefined, other, verdictType.Proceed, true],
		['the same attempt', entryWith(), intentWith(), verdictType.Proceed, false],
		['an attempt with the same id by an earlier incarnation', entryWith({incarnation: 'i0'}), intentWith(), verdictType.OutcomeUnknown, false],
		['the same attempt after its withdrawal', entryWith({state: entryState.Withdrawn}), intentWith(), verdictType.Withdrawn, false],
		['another attempt of a live incarnation', entryWith(), other, verdictType.InProgress, false],
		['another attempt of an earlier incarnation', entryWith({incarnation: 'i0'}), other, verdictType.OutcomeUnknown, false],
		['another attempt of a router that is not live', entryWith({vm: 'vm9'}), other, verdictType.OutcomeUnknown, false],
		['a key with an unknown outcome', entryWith({state: entryState.Unknown}), other, verdictType.OutcomeUnknown, false],
		['a key with a recorded response', entryWith({state: entryState.Done, outcome}), other, verdictType.Replay, false],
		['a key used with another request', entryWith({digest: 'e'}), other, verdictType.KeyReused, false],
		['a withdrawn key', entryWith({state: entryState.Withdrawn}), other, verdictType.Proceed, true],
	];
	for (const [title, entry, intent, expected, changed] of cases) {
		it(`returns ${expected} for ${title}`, () => {
			const proposal = evaluate(entry, intent);
			expect(proposal.verdicts[0]!.type).to.equal(expected);
			expect(proposal.changed).to.equal(changed);
		});
	}

	it('evaluates two attempts with the same key in one batch', () => {
		const {verdicts} = core.ledger.proposeIntents(core.ledger.emptyShard, [intentWith(), other], 0, rules);
		expect(verdicts.map(verdict => verdict.type)).to.deep.equal([verdictType.Proceed, verdictType.InProgress]);
	});

	it('stores an entry until its retention ends', () => {
		const done = entryWith({state: entryState.Done, outcome});
		expect(evaluate(done, other, 999).verdicts[0]!.type).to.equal(verdictType.Replay);
		expect(evaluate(done, other, 1000).verdicts[0]!.type).to.equal(verdictType.Proceed);
	});
});

describe('createLedgerOptions', () => {
	it('requires the send window to end before the entry expires', () => {
		expect(core.ledger.createLedgerOptions({retentionMs: 100}).sendWindowMs).to.equal(50);
		expect(() => core.ledger.createLedgerOptions({retentionMs: 100, sendWindowMs: 100})).to.throw('ledger.send-before-expiry');
	});
});

describe('LedgerShard', () => {
	it('refuses intents before it reaches its maximum size, so that outcomes can still be recorded', () => {
		const size = fc.integer({min: 0, max: 900});
		fc.assert(fc.property(fc.array(size, {minLength: 5, maxLength: 40}), sizes => {
			let shard = core.ledger.emptyShard;
			for (const [index, bodySize] of sizes.entries()) {
				const intent = intentWith({key: `k${index}`, attempt: `a${index}`});
				const proposal = core.ledger.proposeIntents(shard, [intent], 0, rules);
				const draft = core.ledger.createDraft(proposal.shard);
				const outcome = {status: 200, body: new Uint8Array(bodySize)};
				core.ledger.settleIntent(draft, {intent, state: entryState.Done, outcome}, 0, options);
				shard = core.ledger.finishDraft(draft, options);
				const isRecorded = proposal.verdicts[0]!.type === verdictType.Proceed;
				const entry = shard.entries.get(core.ledger.formatEntryKey('club', `k${index}`));
				expect(entry?.outcome?.status).to.equal(isRecorded ? 200 : undefined);
				expect(shard.bytes).to.equal(core.ledger.createShard(core.ledger.listEntries(shard)).bytes);
			}
		}), {seed: 4});
	});
});

describe('selectShardWriter', () => {
	it('moves only the shards of a removed router', () => {
		const members = ['vm1', 'vm2', 'vm3', 'vm4'];
		for (let shard = 0; shard < 64; shard += 1) {
			const before = core.ledger.selectShardWriter(shard, members);
			const after = core.ledger.selectShardWriter(shard, members.filter(vm => vm !== 'vm4'));
			expect(before === 'vm4' || before === after).to.equal(true);
		}
	});
});
