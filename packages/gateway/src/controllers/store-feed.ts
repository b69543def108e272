import * as clients from '@bluebellmast/kv';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';

/** Takes what a feed reads. */
export interface FeedListener { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/**
	 * Takes all entries under the prefix.
	 *
	 * @param maybeLapsed - Whether the store was away shortly before, so that entries of living writers may have lapsed.
	 */
	onSnapshot(entries: readonly clients.kv.KvEntry[], maybeLapsed: boolean): void;
	onChange(change: clients.kv.KvChange, maybeLapsed: boolean): void;
	/** Takes that nothing else has changed before a call that began at this time, in wall-safe milliseconds. */
	onConfirmed?(startedAt: number): void;
}

/** Times of a feed, in milliseconds. */
export type FeedTerms = {
	/** Longest wait of one poll: bounds the age of what is confirmed and the time to notice a silent connection. */
	readonly waitMs: number;
	/** Pause after a failed call; doubles up to `maxPauseMs` while calls fail. */
	readonly minPauseMs: number;
	readonly maxPauseMs: number;
	/** Time after the last failed call during which entries may be missing that will return. */
	readonly lapsedMs: number;
};

/**
 * One poll a second confirms the configuration well within the bounds of revocation; entries return within two seconds
 * after an outage, and one more second is kept for their writing.
 */
export const defaultFeedTerms: FeedTerms = {
	waitMs: 1000, minPauseMs: 100, maxPauseMs: 400, lapsedMs: 3000,
};

/** Reads a prefix of the store and follows its changes, through outages and lost history. */
export class StoreFeed {
	#revision: number | undefined;
	#failedAt = -Infinity;
	#pauseMs: number;
	#isStopped = false;
	#isLost = false;

	constructor(
		private readonly store: clients.kv.KvChangeFeed,
		private readonly prefix: string,
		private readonly listener: FeedListener,
		private readonly clock: clocks.Clocks,
		private readonly log: eventLog.EventLog,
		private readonly terms: FeedTerms = defaultFeedTerms,
	) {
		this.#pauseMs = terms.minPauseMs;
	}

	/** Follows the prefix until {@link StoreFeed.stop}. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			const isOk = await this.#step(); // eslint-disable-line no-await-in-loop -- Calls follow one another.
			if (!isOk && !this.#isStopped) {
				await this.#pause(); // eslint-disable-line no-await-in-loop -- A pause between failed calls.
			}
		}
	}

	/** Ends the feed after the call under way. */
	stop(): void {
		this.#isStopped = true;
	}

	async #step(): Promise<boolean> {
		const startedAt = this.clock.wallSafeNow();
		const revision = this.#revision;
		const failure = revision === undefined ? await this.#read() : await this.#poll(revision);
		if (failure === undefined) {
			this.#noteSuccess();
			this.listener.onConfirmed?.(startedAt);
			return true;
		}

		if (failure.code === clients.kv.KvErrorCode.HistoryLost) {
			this.#revision = undefined;
			return true;
		}

		this.#noteFailure(failure);
		return false;
	}

	async #read(): Promise<clients.kv.KvError | undefined> {
		const snapshot = await this.store.snapshot(this.prefix);
		return snapshot.caseOf<clients.kv.KvError | undefined>({
			Left: failure => failure,
			Right: read => {
				this.#revision = read.revision;
				this.listener.onSnapshot(read.entries, this.#maybeLapsed());
				return undefined;
			},
		});
	}

	async #poll(revision: number): Promise<clients.kv.KvError | undefined> {
		const polled = await this.store.poll(this.prefix, revision, this.terms.waitMs);
		return polled.caseOf<clients.kv.KvError | undefined>({
			Left: failure => failure,
			Right: read => {
				this.#revision = Math.max(revision, read.revision);
				for (const change of read.changes) {
					this.listener.onChange(change, this.#maybeLapsed());
				}

				return undefined;
			},
		});
	}

	#maybeLapsed(): boolean {
		return this.clock.steadyNow() - this.#failedAt < this.terms.lapsedMs;
	}

	#noteSuccess(): void {
		this.#pauseMs = this.terms.minPauseMs;
		if (this.#isLost) {
			this.#isLost = false;
			this.log.write(eventLog.LogEvent.StoreRegained, {prefix: this.prefix});
		}
	}

	#noteFailure(failure: clients.kv.KvError): void {
		this.#failedAt = this.clock.steadyNow();
		if (!this.#isLost) {
			this.#isLost = true;
			this.log.write(eventLog.LogEvent.StoreLost, {prefix: this.prefix, code: failure.code, problem: failure.message});
		}
	}

	async #pause(): Promise<void> {
		const pauseMs = this.#pauseMs;
		this.#pauseMs = Math.min(this.terms.maxPauseMs, pauseMs * 2);
		await new Promise(resolve => {
			setTimeout(resolve, pauseMs);
		});
	}
}
