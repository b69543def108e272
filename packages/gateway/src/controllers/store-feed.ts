import * as timers from 'node:timers/promises';
import * as core from '@bluebellmast/core';
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

/** What a feed works with. */
export type StoreFeedParts = {
	readonly store: clients.kv.KvChangeFeed;
	readonly prefix: string;
	readonly listener: FeedListener;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/** Reads a prefix of the store and follows its changes, through outages and lost history. */
export class StoreFeed {
	#revision: number | undefined;
	#failedAt = -Infinity;
	#pauseMs: number;
	#isStopped = false;
	/** When the store was lost, in steady milliseconds; absent while it answers. */
	#lostAt: number | undefined;

	constructor(private readonly parts: StoreFeedParts, private readonly terms: FeedTerms = defaultFeedTerms) {
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
		const startedAt = this.parts.clock.suspendAwareNow();
		const revision = this.#revision;
		const failure = revision === undefined ? await this.#read() : await this.#poll(revision);
		if (failure === undefined) {
			this.#noteSuccess();
			this.parts.listener.onConfirmed?.(startedAt);
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
		const snapshot = await this.parts.store.snapshot(this.parts.prefix);
		return core.util.matchEither(snapshot, failure => failure, read => {
			this.#revision = read.revision;
			this.parts.listener.onSnapshot(read.entries, this.#maybeLapsed());
			return undefined;
		});
	}

	async #poll(revision: number): Promise<clients.kv.KvError | undefined> {
		const polled = await this.parts.store.poll(this.parts.prefix, revision, this.terms.waitMs);
		return core.util.matchEither(polled, failure => failure, read => {
			this.#revision = Math.max(revision, read.revision);
			for (const change of read.changes) {
				this.parts.listener.onChange(change, this.#maybeLapsed());
			}

			return undefined;
		});
	}

	#maybeLapsed(): boolean {
		return this.parts.clock.monotonicNow() - this.#failedAt < this.terms.lapsedMs;
	}

	#noteSuccess(): void {
		this.#pauseMs = this.terms.minPauseMs;
		if (this.#lostAt !== undefined) {
			const awayMs = Math.round(this.parts.clock.monotonicNow() - this.#lostAt);
			this.#lostAt = undefined;
			this.parts.log.write(eventLog.LogEvent.StoreRegained, {prefix: this.parts.prefix, awayMs});
		}
	}

	#noteFailure(failure: clients.kv.KvError): void {
		this.#failedAt = this.parts.clock.monotonicNow();
		if (this.#lostAt === undefined) {
			this.#lostAt = this.#failedAt;
			this.parts.log.write(eventLog.LogEvent.StoreLost, {prefix: this.parts.prefix, code: failure.code, problem: failure.message});
		}
	}

	async #pause(): Promise<void> {
		const pauseMs = this.#pauseMs;
		this.#pauseMs = Math.min(this.terms.maxPauseMs, pauseMs * 2);
		await timers.setTimeout(pauseMs);
	}
}
