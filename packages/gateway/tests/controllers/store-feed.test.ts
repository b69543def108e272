import {Buffer} from 'node:buffer';
import * as clients from '@bluebellmast/kv';
import * as chai from 'chai';
import * as purify from 'purify-ts';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {OutcomeUnknown: outcomeUnknown, HistoryLost: historyLost} = clients.kv.KvErrorCode;

type Answer = purify.Either<clients.kv.KvError, clients.kv.KvChanges>;

/** A store that answers polls from a list, and then stops the feed. */
class ScriptedStore implements clients.kv.KvChangeFeed {
	snapshots = 0;
	readonly pollsFrom: number[] = [];

	constructor(private readonly answers: Answer[], private readonly onEnd: () => void) {}

	async snapshot(): clients.kv.KvResult<clients.kv.KvSnapshot> {
		this.snapshots += 1;
		return purify.Right({entries: [entry('a', 5)], revision: 10 * this.snapshots});
	}

	async poll(_prefix: string, afterRevision: number): clients.kv.KvResult<clients.kv.KvChanges> {
		this.pollsFrom.push(afterRevision);
		const answer = this.answers.shift();
		if (this.answers.length === 0) {
			this.onEnd();
		}

		return answer ?? purify.Right({changes: [], revision: afterRevision});
	}
}

function entry(key: string, revision: number): clients.kv.KvEntry {
	return {key, value: Buffer.from(''), revision};
}

function failed(code: clients.kv.KvErrorCode): Answer {
	return purify.Left({code, message: 'scripted'});
}

async function follow(answers: Answer[]): Promise<{readonly seen: string[]; readonly store: ScriptedStore; readonly events: string[]}> {
	const seen: string[] = [];
	const events: string[] = [];
	const store = new ScriptedStore(answers, () => {
		feed.stop();
	});
	let now = 1000;
	const feed = new gateway.controllers.StoreFeed({
		store,
		prefix: '',
		listener: {
			onSnapshot(entries, maybeLapsed) {
				seen.push(`snapshot ${entries.length} ${maybeLapsed}`);
			},
			onChange(change, maybeLapsed) {
				seen.push(`change ${change.key} ${change.entry === undefined ? 'removed' : 'put'} ${maybeLapsed}`);
			},
			onConfirmed(startedAt) {
				seen.push(`confirmed ${startedAt}`);
			},
		},
		clock: {monotonicNow: () => now, suspendAwareNow: () => now++, wallNow: () => now},
		log: {
			write(event) {
				events.push(event);
			},
		},
	}, {
		...gateway.controllers.defaultFeedTerms, minPauseMs: 1, maxPauseMs: 1,
	});
	await feed.run();
	return {seen, store, events};
}

describe('StoreFeed', () => {
	it('reads all, then follows changes from there, and confirms by the start of each call', async () => {
		const {seen, store} = await follow([
			purify.Right({changes: [{key: 'a', entry: entry('a', 11)}, {key: 'b'}], revision: 12}),
			purify.Right({changes: [], revision: 12}),
		]);
		expect(store.pollsFrom).to.deep.equal([10, 12]);
		expect(seen).to.deep.equal([
			'snapshot 1 false', 'confirmed 1000', 'change a put false', 'change b removed false', 'confirmed 1001', 'confirmed 1002',
		]);
	});

	it('reads all again when the store has forgotten the history', async () => {
		const {seen, store} = await follow([failed(historyLost), purify.Right({changes: [], revision: 20})]);
		expect(store.pollsFrom).to.deep.equal([10, 20]);
		expect(seen.filter(text => text.startsWith('snapshot'))).to.have.lengthOf(2);
	});

	it('tells that entries may have lapsed after an outage, and logs the loss and the return once', async () => {
		const {seen, events} = await follow([
			failed(outcomeUnknown), failed(outcomeUnknown), purify.Right({changes: [{key: 'b'}], revision: 12}), purify.Right({changes: [], revision: 12}),
		]);
		expect(seen).to.include('change b removed true');
		expect(events).to.deep.equal([gateway.util.LogEvent.StoreLost, gateway.util.LogEvent.StoreRegained]);
	});

	it('confirms nothing by a failed call', async () => {
		const {seen} = await follow([failed(outcomeUnknown), purify.Right({changes: [], revision: 10})]);
		expect(seen.filter(text => text.startsWith('confirmed'))).to.deep.equal(['confirmed 1000', 'confirmed 1002']);
	});
});
