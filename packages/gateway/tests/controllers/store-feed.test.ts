import {Buffer} from 'node:buffer';
import * as timers from 'node:timers/promises';
import * as clients from '@bluebellmast/kv';
import * as chai from 'chai';
import * as purify from 'purify-ts';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {OutcomeUnknown: outcomeUnknown, HistoryLost: historyLost, RateLimited: rateLimited} = clients.kv.KvErrorCode;

type PollResult = purify.Either<clients.kv.KvError, clients.kv.KvChanges>;

/** A store that returns poll results from a list, and then stops the feed. */
class ScriptedStore implements clients.kv.KvChangeFeed {
	snapshots = 0;
	readonly polledRevisions: number[] = [];
	#calls = 0;

	/**
	 * @param onCall - Called when a call ends, with its number.
	 * @param onEnd - Called when the last result is returned.
	 */
	constructor(private readonly results: PollResult[], private readonly onCall: (number: number) => void, private readonly onEnd: () => void) {}

	async snapshot(): clients.kv.KvResult<clients.kv.KvSnapshot> {
		this.snapshots += 1;
		this.#endCall();
		return purify.Right({entries: [entry('a', 5)], revision: 10 * this.snapshots});
	}

	async poll(_prefix: string, afterRevision: number): clients.kv.KvResult<clients.kv.KvChanges> {
		this.polledRevisions.push(afterRevision);
		this.#endCall();
		const result = this.results.shift();
		if (this.results.length === 0) {
			this.onEnd();
		}

		return result ?? purify.Right({changes: [], revision: afterRevision});
	}

	#endCall(): void {
		this.onCall(this.#calls);
		this.#calls += 1;
	}
}

function entry(key: string, revision: number): clients.kv.KvEntry {
	return {key, value: Buffer.from(''), revision};
}

function failed(code: clients.kv.KvErrorCode): PollResult {
	return purify.Left({code, message: 'scripted'});
}

type FollowOptions = {
	readonly pollPauseMs?: () => number;
	/** How long each call takes, in milliseconds; 1 by default. */
	readonly callMs?: readonly number[];
	/** How long the VM is suspended in each call, in milliseconds; 0 by default. */
	readonly suspendedMs?: readonly number[];
};

type Followed = {
	readonly received: string[];
	/** Contexts of the changes. */
	readonly contexts: gateway.controllers.ReadContext[];
	readonly snapshotContexts: gateway.controllers.ReadContext[];
	readonly store: ScriptedStore;
	readonly events: string[];
	/** Start of each confirming call, and when the store responded to it at the earliest. */
	readonly confirmed: string[];
};

async function follow(results: PollResult[], {pollPauseMs = () => 0, callMs = [], suspendedMs = []}: FollowOptions = {}): Promise<Followed> {
	const received: string[] = [];
	const contexts: gateway.controllers.ReadContext[] = [];
	const snapshotContexts: gateway.controllers.ReadContext[] = [];
	const events: string[] = [];
	const confirmed: string[] = [];
	let now = 1000;
	let totalSuspendedMs = 0;
	const store = new ScriptedStore(results, number => {
		now += callMs[number] ?? 1;
		totalSuspendedMs += suspendedMs[number] ?? 0;
	}, () => {
		feed.stop();
	});
	const feed = new gateway.controllers.StoreFeed({
		store,
		prefix: '',
		pollPauseMs,
		listener: {
			onSnapshot(entries, context) {
				received.push(`snapshot ${entries.length} ${context.lapse !== undefined}`);
				snapshotContexts.push(context);
			},
			onChange(change, context) {
				received.push(`change ${change.key} ${change.entry === undefined ? 'removed' : 'put'} ${context.lapse !== undefined}`);
				contexts.push(context);
			},
			onConfirmed(startedAt, respondedAfter) {
				received.push(`confirmed ${startedAt}`);
				confirmed.push(`${startedAt} after ${respondedAfter}`);
			},
		},
		clock: {monotonicNow: () => now, suspendAwareNow: () => now + totalSuspendedMs, wallNow: () => now},
		log: {
			write(event) {
				events.push(event);
			},
		},
	}, {
		...gateway.controllers.defaultStoreFeedOptions, minRetryDelayMs: 1, maxRetryDelayMs: 1, maxUnconfirmedMs: 1600,
	});
	await feed.run();
	return {
		received, contexts, snapshotContexts, store, events, confirmed,
	};
}

/** A store whose polls wait until they are aborted or the test ends them; responses carry the era that the test sets. */
class ReturningStore implements clients.kv.KvChangeFeed, clients.kv.KvEraSource {
	readonly eras = new clients.kv.KvEras();
	readonly polls: Array<{readonly revision: number; readonly era?: number}> = [];
	revision = 100;
	era = 1;
	/** Completes the poll in progress. */
	endPoll: (result: PollResult) => void = () => undefined;

	async snapshot(): clients.kv.KvResult<clients.kv.KvSnapshot> {
		return this.eras.checkResponse(String(this.era)).map(era => ({entries: [entry(`e${this.era}`, this.revision)], revision: this.revision, era}));
	}

	async poll(_prefix: string, revision: number, _waitMs: number, options: clients.kv.KvPollOptions = {}): clients.kv.KvResult<clients.kv.KvChanges> {
		this.polls.push({revision, era: options.era});
		return new Promise(resolve => {
			this.endPoll = resolve;
			options.signal?.addEventListener('abort', () => {
				resolve(failed(outcomeUnknown));
			});
		});
	}
}

describe('StoreFeed of a store that returns from a copy', () => {
	const tickMs = 5;
	let store: ReturningStore;
	let received: string[];
	let events: string[];
	let feed: gateway.controllers.StoreFeed;
	let running: Promise<void>;

	beforeEach(async () => {
		store = new ReturningStore();
		received = [];
		events = [];
		feed = new gateway.controllers.StoreFeed({
			store,
			eras: store.eras,
			prefix: '',
			listener: {
				onSnapshot(entries, {lapse}) {
					received.push(`snapshot ${entries.map(({key}) => key).join(' ')} ${lapse !== undefined}`);
				},
				onChange(change) {
					received.push(`change ${change.key}`);
				},
				onReturn() {
					received.push('return');
				},
			},
			clock: {monotonicNow: () => 0, suspendAwareNow: () => 0, wallNow: () => 0},
			log: {
				write(event) {
					events.push(event);
				},
			},
		});
		running = feed.run();
		await timers.setTimeout(tickMs);
	});

	afterEach(async () => {
		feed.stop();
		store.endPoll(purify.Right({changes: [], revision: 0}));
		await running;
	});

	function returnFromCopy(revision: number): void {
		store.era += 1;
		store.revision = revision;
	}

	it('ends the poll and reads a snapshot when any call shows a newer era, though the revision is lower', async () => {
		returnFromCopy(60);
		store.eras.checkResponse('2');
		await timers.setTimeout(tickMs);
		expect(received).to.deep.equal(['snapshot e1 false', 'return', 'snapshot e2 true']);
		expect(store.polls).to.deep.equal([{revision: 100, era: 1}, {revision: 60, era: 2}]);
		expect(events).to.deep.equal([gateway.util.LogEvent.StoreReread]);
	});

	it('delivers no changes of the earlier era that arrive with the news of the return', async () => {
		returnFromCopy(100);
		store.endPoll(purify.Right({changes: [{key: 'late', entry: entry('late', 101)}], revision: 101}));
		store.eras.checkResponse('2');
		await timers.setTimeout(tickMs);
		expect(received).to.deep.equal(['snapshot e1 false', 'return', 'snapshot e2 true']);
	});

	it('reads one snapshot for several returns in a row', async () => {
		returnFromCopy(60);
		store.eras.checkResponse('2');
		returnFromCopy(50);
		store.eras.checkResponse('3');
		await timers.setTimeout(tickMs);
		expect(received.at(-1)).to.equal('snapshot e3 true');
		expect(store.polls.at(-1)).to.deep.equal({revision: 50, era: 3});
	});
});

describe('StoreFeed', () => {
	it('reads a snapshot, polls from its revision, and confirms with the start time of each call', async () => {
		const {received, store} = await follow([
			purify.Right({changes: [{key: 'a', entry: entry('a', 11)}, {key: 'b'}], revision: 12}),
			purify.Right({changes: [], revision: 12}),
		]);
		expect(store.polledRevisions).to.deep.equal([10, 12]);
		expect(received).to.deep.equal([
			'snapshot 1 false', 'confirmed 1000', 'change a put false', 'change b removed false', 'confirmed 1001', 'confirmed 1002',
		]);
	});

	it('reads a new snapshot when the store has lost the history', async () => {
		const {received, store} = await follow([failed(historyLost), purify.Right({changes: [], revision: 20})]);
		expect(store.polledRevisions).to.deep.equal([10, 20]);
		expect(received.filter(text => text.startsWith('snapshot'))).to.have.lengthOf(2);
	});

	it('reports after an outage that entries may have expired, and logs the outage and its end once', async () => {
		const {received, events} = await follow([
			failed(outcomeUnknown), failed(outcomeUnknown), purify.Right({changes: [{key: 'b'}], revision: 12}), purify.Right({changes: [], revision: 12}),
		], {callMs: [1, 1700, 700, 4]});
		expect(received).to.include('change b removed true');
		expect(events).to.deep.equal([gateway.util.LogEvent.StoreLost, gateway.util.LogEvent.StoreRegained]);
	});

	it('reports none after an outage that is too short for an entry to expire', async () => {
		const {received} = await follow([
			failed(outcomeUnknown), failed(outcomeUnknown), purify.Right({changes: [{key: 'b'}], revision: 12}), purify.Right({changes: [], revision: 12}),
		], {callMs: [1, 500, 500, 4]});
		expect(received).to.include('change b removed false');
	});

	it('reports none after calls that the store rejected by its rate limit, which it only can while it is available', async () => {
		const {received} = await follow([
			failed(rateLimited), failed(rateLimited), failed(rateLimited), purify.Right({changes: [{key: 'b'}], revision: 12}), purify.Right({changes: [], revision: 12}),
		], {callMs: [1, 700, 700, 700, 700]});
		expect(received).to.include('change b removed false');
	});

	it('reports them until two seconds after the return, however long the outage was', async () => {
		const removed: PollResult = purify.Right({changes: [{key: 'b'}], revision: 12});
		const {contexts} = await follow([failed(outcomeUnknown), failed(outcomeUnknown), removed, removed, removed], {callMs: [1, 8300, 700, 4, 1949, 1]});
		const lapse = {beginsAt: 3101, returnedAt: 10_005, endsAt: 11_955};
		expect(contexts.map(context => context.lapse)).to.deep.equal([lapse, lapse, undefined]);
	});

	it('does not confirm after a failed call', async () => {
		const {received} = await follow([failed(outcomeUnknown), purify.Right({changes: [], revision: 10})]);
		expect(received.filter(text => text.startsWith('confirmed'))).to.deep.equal(['confirmed 1000', 'confirmed 1002']);
	});

	const confirmations: ReadonlyArray<{readonly name: string; readonly results: PollResult[]; readonly callMs: readonly number[]; readonly expected: readonly string[]}> = [
		{
			name: 'the end of the wait of a poll without changes',
			results: [purify.Right({changes: [], revision: 10}), purify.Right({changes: [], revision: 10})],
			callMs: [4, 1005, 1300],
			expected: ['1000 after 1000', '1004 after 2004', '2009 after 3009'],
		},
		{
			name: 'the start of a poll with changes',
			results: [purify.Right({changes: [{key: 'b'}], revision: 12}), purify.Right({changes: [], revision: 12})],
			callMs: [4, 1005, 1000],
			expected: ['1000 after 1000', '1004 after 1004', '2009 after 2604'],
		},
		{
			name: 'the start of a poll without changes that ended before its wait',
			results: [purify.Right({changes: [], revision: 10}), purify.Right({changes: [], revision: 10})],
			callMs: [4, 300, 1000],
			expected: ['1000 after 1000', '1004 after 1004', '1304 after 2304'],
		},
	];
	for (const {name, results, callMs, expected} of confirmations) {
		it(`confirms that the store responded after ${name}`, async () => {
			const {confirmed} = await follow(results, {callMs});
			expect(confirmed).to.deep.equal(expected);
		});
	}

	// Where entries change all the time, each poll would end at once.
	it('pauses after polls that found changes, and only after these', async () => {
		const changed: PollResult = purify.Right({changes: [{key: 'a', entry: entry('a', 11)}], revision: 11});
		const unchanged: PollResult = purify.Right({changes: [], revision: 11});
		let pauses = 0;
		await follow([changed, unchanged, changed, unchanged, unchanged], {
			pollPauseMs() {
				pauses += 1;
				return 1;
			},
		});
		expect(pauses).to.equal(2);
	});

	const changed: PollResult = purify.Right({changes: [{key: 'a', entry: entry('a', 11)}], revision: 11});
	const unchanged: PollResult = purify.Right({changes: [], revision: 11});
	const failure = failed(outcomeUnknown);
	const outage = Array.from({length: 10}, () => failure);
	const reads = [
		{
			name: 'a poll that returned while it waited', results: [changed, unchanged], callMs: [4, 600],
			expected: {
				after: 1000, assumed: 1604, before: 1604, isPrompt: true,
			},
		},
		{
			name: 'a poll that returned at once', results: [unchanged, changed, unchanged], callMs: [4, 1000, 5],
			expected: {
				after: 1004, assumed: 2004, before: 2009, isPrompt: true,
			},
		},
		{
			name: 'a poll after calls that failed for a short time', results: [failure, changed, unchanged], callMs: [4, 700, 5],
			expected: {
				after: 1000, assumed: 1000, before: 1709, isPrompt: false,
			},
		},
		{
			name: 'a poll after an outage', results: [...outage, changed, unchanged], callMs: [4, ...outage.map(() => 1000), 5],
			expected: {
				after: 1000, assumed: 9009, before: 11_009, isPrompt: false,
			},
		},
		{
			name: 'a poll during which the VM was suspended', results: [changed, unchanged], callMs: [4, 300], suspendedMs: [0, 9000],
			expected: {
				after: 1000, assumed: 1000, before: 10_304, isPrompt: false,
			},
		},
	];
	// Guards against a version that seems to have been named when the snapshot was read, although the watch had not reported it for a second.
	it('reports that a snapshot after the history was lost shows changes from since the last confirmed read', async () => {
		const {snapshotContexts} = await follow([failed(historyLost), unchanged], {callMs: [4, 900, 300]});
		expect(snapshotContexts.map(({changed}) => changed)).to.deep.equal([
			{after: -Infinity, assumed: 1004, before: 1004},
			{
				after: 1000, assumed: 1000, before: 2204, isPrompt: false,
			},
		]);
	});

	for (const {name, results, expected, ...options} of reads) {
		it(`tells since when a change can have been written: ${name}`, async () => {
			const {contexts} = await follow(results, options);
			expect(contexts[0]!.changed).to.deep.equal(expected);
		});
	}
});

// Guards against a poll with many large values that blocks the event loop until all of them are applied.
describe('a StoreFeed whose poll finds changes that take long to apply', () => {
	async function applySlowChanges(onApplied: (count: number, eras: clients.kv.KvEras) => void): Promise<{readonly applied: string[]; readonly turnsBetween: number[]}> {
		const eras = new clients.kv.KvEras();
		const applied: string[] = [];
		const turnsBetween: number[] = [];
		let now = 1000;
		let turns = 0;
		let isDone = false;
		const countTurns = (): void => {
			turns += 1;
			if (!isDone) {
				setImmediate(countTurns);
			}
		};

		setImmediate(countTurns);
		const store = new ScriptedStore([
			purify.Right({changes: ['a', 'b', 'c'].map((key, index) => ({key, entry: entry(key, 11 + index)})), revision: 13}),
			purify.Right({changes: [], revision: 13}),
		], () => undefined, () => {
			feed.stop();
		});
		const feed = new gateway.controllers.StoreFeed({
			store,
			prefix: '',
			eras,
			listener: {
				onSnapshot: () => undefined,
				onChange({key}) {
					applied.push(key);
					turnsBetween.push(turns);
					now += 15;
					onApplied(applied.length, eras);
				},
			},
			clock: {monotonicNow: () => now, suspendAwareNow: () => now, wallNow: () => now},
			log: {write: () => undefined},
		});
		await feed.run();
		isDone = true;
		return {applied, turnsBetween};
	}

	it('reads input between them', async () => {
		const {applied, turnsBetween} = await applySlowChanges(() => undefined);
		expect(applied).to.deep.equal(['a', 'b', 'c']);
		expect(new Set(turnsBetween).size).to.equal(3);
	});

	it('drops the rest when the store returns from a copy meanwhile', async () => {
		const {applied} = await applySlowChanges((count, eras) => {
			if (count === 1) {
				setImmediate(() => {
					eras.checkResponse('1');
					eras.checkResponse('2');
				});
			}
		});
		expect(applied).to.deep.equal(['a']);
	});
});
