import {expect} from 'chai';
import fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {VerdictType: verdictType, EntryState: entryState} = core.ledger;

const options = core.ledger.createLedgerOptions({
	maxIntentBytes: 3000, maxShardBytes: 4000, maxOutcomeBytes: 500, retentionMs: 1000, withdrawnRetentionMs: 100,
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

function judge(entry: core.ledger.LedgerEntry | undefined, intent: core.ledger.Intent, now = 10) {
	const shard = core.ledger.createShard(entry === undefined ? [] : [entry]);
	return core.ledger.proposeIntents(shard, [intent], now, rules);
}

describe('proposeIntents', () => {
	const other = intentWith({attempt: 'a2'});
	const outcome = {status: 201, body: new TextEncoder().encode('pitch 4')};
	const cases: Array<[string, core.ledger.LedgerEntry | undefined, core.ledger.Intent, core.ledger.VerdictType, boolean]> = [
		['a free key', undefined, other, verdictType.Proceed, true],
		['its own attempt, read back', entryWith(), intentWith(), verdictType.Proceed, false],
		['an attempt of the same name by an earlier incarnation', entryWith({incarnation: 'i0'}), intentWith(), verdictType.OutcomeUnknown, false],
		['its own attempt, withdrawn', entryWith({state: entryState.Withdrawn}), intentWith(), verdictType.Withdrawn, false],
		['an attempt of a live incarnation', entryWith(), other, verdictType.InProgress, false],
		['an attempt of an earlier incarnation', entryWith({incarnation: 'i0'}), other, verdictType.OutcomeUnknown, false],
		['an attempt of a gone router', entryWith({vm: 'vm9'}), other, verdictType.OutcomeUnknown, false],
		['an unknown outcome', entryWith({state: entryState.Unknown}), other, verdictType.OutcomeUnknown, false],
		['a finished key', entryWith({state: entryState.Done, outcome}), other, verdictType.Replay, false],
		['another request', entryWith({digest: 'e'}), other, verdictType.KeyReused, false],
		['a withdrawn key', entryWith({state: entryState.Withdrawn}), other, verdictType.Proceed, true],
	];
	for (const [title, entry, intent, expected, changed] of cases) {
		it(`gives ${expected} for ${title}`, () => {
			const proposal = judge(entry, intent);
			expect(proposal.verdicts[0]!.type).to.equal(expected);
			expect(proposal.changed).to.equal(changed);
		});
	}

	it('judges two attempts of one key in one batch', () => {
		const {verdicts} = core.ledger.proposeIntents(core.ledger.emptyShard, [intentWith(), other], 0, rules);
		expect(verdicts.map(verdict => verdict.type)).to.deep.equal([verdictType.Proceed, verdictType.InProgress]);
	});

	it('keeps an entry for its retention', () => {
		const done = entryWith({state: entryState.Done, outcome});
		expect(judge(done, other, 999).verdicts[0]!.type).to.equal(verdictType.Replay);
		expect(judge(done, other, 1000).verdicts[0]!.type).to.equal(verdictType.Proceed);
	});
});

describe('createLedgerTerms', () => {
	it('ends the time to send before an entry expires', () => {
		expect(core.ledger.createLedgerOptions({retentionMs: 100}).sendWindowMs).to.equal(50);
		expect(() => core.ledger.createLedgerOptions({retentionMs: 100, sendWindowMs: 100})).to.throw('ledger.send-before-expiry');
	});
});

describe('ledger shard', () => {
	it('refuses intents before it overflows, and keeps room for outcomes', () => {
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

describe('writerOf', () => {
	it('moves only the shards of a router that goes', () => {
		const members = ['vm1', 'vm2', 'vm3', 'vm4'];
		for (let shard = 0; shard < 64; shard += 1) {
			const before = core.ledger.selectShardWriter(shard, members);
			const after = core.ledger.selectShardWriter(shard, members.filter(vm => vm !== 'vm4'));
			expect(before === 'vm4' || before === after).to.equal(true);
		}
	});
});
