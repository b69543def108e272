import * as timers from 'node:timers/promises';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';

/** Circumstances of a read of the store. */
export type ReadContext = {
	/** Time in which entries of live endpoints may be missing; absent if no entry can have expired in an outage of the store. */
	readonly lapse?: core.store.Lapse;
	/**
	 * When the call began, in milliseconds of a clock that also counts the time that the VM was suspended. Changes that a poll returns were written after
	 * the previous response, which had arrived by then.
	 */
	readonly startedAt: number;
	/** When the changes that the read shows as new were written. */
	readonly changed: core.store.ChangeInterval;
};

/** Receives the entries and changes that a {@link StoreFeed} reads. */
export interface StoreFeedListener { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Called with all entries under the prefix. */
	onSnapshot(entries: readonly clients.kv.KvEntry[], context: ReadContext): void;
	onChange(change: clients.kv.KvChange, context: ReadContext): void;
	/**
	 * Called when all changes from before a call of the store were delivered.
	 *
	 * @param startedAt - When the call began, in milliseconds of a clock that also counts the time that the VM was suspended.
	 * @param respondedAfter - When the store responded at the earliest: the end of the wait of a poll without changes, else `startedAt`.
	 */
	onConfirmed?(startedAt: number, respondedAfter: number): void;
	/** Called when the time in which entries may be missing becomes longer or ends, since the store is unavailable again or has returned. */
	onLapse?(lapse: core.store.Lapse | undefined): void;
	/** Called before the first snapshot after the store has returned from a copy, whose entries may be older than the known ones. */
	onReturn?(): void;
}

/** Options of a {@link StoreFeed}, in milliseconds. */
export type StoreFeedOptions = {
	/** Longest wait of one poll; bounds the time between confirmations and the time to detect an unresponsive connection. */
	readonly pollWaitMs: number;
	/** Time without a confirmation after which a poll ends early to confirm; not limited by default. */
	readonly maxUnconfirmedMs: number;
	/** Longest wait of a poll after a failed call, so that the return of the store is noticed soon. */
	readonly probeWaitMs: number;
	/** Longest wait of a poll while entries may be missing; with the timeout of a call it is shorter than an outage in which entries expire. */
	readonly lapsePollWaitMs: number;
	/** Time from the start of a failed call to the next one, at least; doubles up to `maxRetryDelayMs` while calls fail. */
	readonly minRetryDelayMs: number;
	readonly maxRetryDelayMs: number;
	readonly lapse: core.store.LapseOptions;
};

/** One poll per second confirms the configuration well within the limits on the revocation of keys. */
export const defaultStoreFeedOptions: StoreFeedOptions = {
	pollWaitMs: 1000, maxUnconfirmedMs: Infinity, probeWaitMs: 10, lapsePollWaitMs: 300, minRetryDelayMs: 100, maxRetryDelayMs: 400, lapse: core.store.defaultLapseOptions,
};

/** Wait of a poll that ends early to confirm, at least, in milliseconds; bounds the rate of calls. */
const minPollWaitMs = 100;

/** Time for which changes are applied at once, in milliseconds; input is read before the next one. */
const maxBlockMs = 10;

/** Dependencies of a {@link StoreFeed}. */
export type StoreFeedDependencies = {
	readonly store: clients.kv.KvChangeFeed;
	readonly prefix: string;
	readonly listener: StoreFeedListener;
	/** Returns the pause after a poll that found changes, in milliseconds, so that one poll gathers several; 0 by default. */
	readonly pollPauseMs?: () => number;
	/** Eras of the store; without them no return from a copy is noticed. */
	readonly eras?: clients.kv.KvEras;
	/** Returns the delay before the snapshot after a return from a copy, in milliseconds, so that not all VMs read at once; 0 by default. */
	readonly returnDelayMs?: () => number;
	/** Waits for a number of milliseconds; by a timer of the system by default. */
	readonly sleep?: (ms: number) => Promise<void>;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/**
 * Reads the entries under a prefix of the store and follows their changes; recovers from outages, from lost history, and from returns
 * of the store from a copy.
 */
export class StoreFeed {
	#revision: number | undefined;
	readonly #lapses: core.store.LapseWindow;
	readonly #changeTimes = new core.store.ChangeTimes();
	#retryDelayMs: number;
	#isStopped = false;
	/** Whether the last poll ended before its longest wait, since there were changes. */
	#hasFoundChanges = false;
	/** When the store responded to the last confirming call at the earliest, in milliseconds of the clock that counts suspensions. */
	#respondedAfter = -Infinity;
	/** When calls began to fail, in milliseconds of the monotonic clock; absent while they succeed. */
	#unavailableSince: number | undefined;
	/** Era of `#revision`. */
	#era: number | undefined;
	/** Whether the store has returned from a copy and no snapshot was read since. */
	#hasReturned = false;
	/** Ends the poll in progress, if there is one. */
	#pollAbort: AbortController | undefined;

	constructor(
		private readonly dependencies: StoreFeedDependencies,
		private readonly options: StoreFeedOptions = defaultStoreFeedOptions,
	) {
		this.#retryDelayMs = options.minRetryDelayMs;
		this.#lapses = new core.store.LapseWindow(options.lapse);
		dependencies.eras?.subscribe({
			onEra: (_era, previous) => {
				this.#handleEra(previous);
			},
		});
	}

	/** Follows the prefix until {@link StoreFeed.stop}. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			const startedAt = this.dependencies.clock.monotonicNow();
			const isOk = await this.#readOrPoll(); // eslint-disable-line no-await-in-loop -- Calls are sequential.
			if (!isOk && !this.#isStopped) {
				await this.#waitBeforeRetry(startedAt); // eslint-disable-line no-await-in-loop -- Delays the next call after a failure.
			} else if (this.#hasFoundChanges && !this.#isStopped) {
				await this.#sleep(this.dependencies.pollPauseMs?.() ?? 0); // eslint-disable-line no-await-in-loop -- Gathers changes.
			}
		}
	}

	/** Ends the feed after the call in progress. */
	stop(): void {
		this.#isStopped = true;
	}

	async #readOrPoll(): Promise<boolean> {
		const start = clocks.readInstant(this.dependencies.clock);
		const startedAt = start.suspendAware;
		const revision = this.#revision;
		this.#hasFoundChanges = false;
		const failure = revision === undefined ? await this.#readSnapshot(startedAt) : await this.#poll(revision, startedAt);
		if (this.#mustReadAnew(revision, failure)) {
			await this.#sleep(this.dependencies.returnDelayMs?.() ?? 0);
			return true;
		}

		if (failure === undefined) {
			this.#recordSuccess();
			this.#changeTimes.recordSuccess(this.#callTimes(startedAt));
			this.dependencies.listener.onConfirmed?.(startedAt, this.#respondedAfter);
			return true;
		}

		if (failure.code === clients.kv.KvErrorCode.HistoryLost) {
			this.#revision = undefined;
			// The next snapshot shows changes that no poll has reported.
			this.#changeTimes.recordFailure();
			return true;
		}

		this.#recordFailure(failure, start);
		return false;
	}

	/**
	 * Handles a newer era. The poll in progress follows a history that has ended. Entries whose writers have to write them again may
	 * be missing for a while.
	 */
	#handleEra(previous: number | undefined): void {
		if (previous === undefined) {
			return;
		}

		this.#hasReturned = true;
		this.#revision = undefined;
		this.#changeTimes.recordFailure();
		this.#lapses.recordReturn(this.dependencies.clock.suspendAwareNow());
		this.#pollAbort?.abort();
	}

	/** Returns whether a call was overtaken by a return of the store from a copy, so that its result says nothing. */
	#mustReadAnew(revision: number | undefined, failure: clients.kv.KvError | undefined): boolean {
		return failure?.code === clients.kv.KvErrorCode.EraCrossed || (revision !== undefined && this.#revision === undefined);
	}

	/** Returns whether a result was read before the store returned from a copy. */
	#isFromEarlierEra(era: number | undefined): boolean {
		const newest = this.dependencies.eras?.newest;
		return era !== undefined && newest !== undefined && era < newest;
	}

	async #readSnapshot(startedAt: number): Promise<clients.kv.KvError | undefined> {
		const {suspendedMs} = this.#callTimes(startedAt);
		const snapshot = await this.dependencies.store.snapshot(this.dependencies.prefix);
		return core.util.matchEither<clients.kv.KvError, clients.kv.KvSnapshot, clients.kv.KvError | undefined>(snapshot, failure => failure, read => {
			if (this.#isFromEarlierEra(read.era)) {
				return {code: clients.kv.KvErrorCode.EraCrossed, message: `the snapshot is of era ${read.era}`};
			}

			this.#revision = read.revision;
			this.#era = read.era;
			this.#respondedAfter = startedAt;
			this.#recordReturn(read);
			this.dependencies.listener.onSnapshot(read.entries, this.#context(startedAt, suspendedMs));
			return undefined;
		});
	}

	async #poll(revision: number, startedAt: number): Promise<clients.kv.KvError | undefined> {
		this.#pollAbort = new AbortController();
		const {suspendedMs} = this.#callTimes(startedAt);
		const waitMs = this.#choosePollWait(startedAt);
		const polled = await this.dependencies.store.poll(this.dependencies.prefix, revision, waitMs, {
			era: this.#era, signal: this.#pollAbort.signal,
		});
		const hasWaited = this.#callTimes(startedAt).endedAt - startedAt >= waitMs;
		return core.util.matchEither<clients.kv.KvError, clients.kv.KvChanges, Promise<clients.kv.KvError | undefined>>(polled, async failure => failure, async read => {
			if (this.#revision !== undefined) {
				this.#revision = Math.max(revision, read.revision);
				this.#respondedAfter = hasWaited && read.changes.length === 0 ? startedAt + waitMs : startedAt;
				await this.#applyChanges(read.changes, this.#context(startedAt, suspendedMs));
			}

			return undefined;
		});
	}

	/** Applies the changes of a poll; drops the rest of them when the store returns from a copy meanwhile. */
	async #applyChanges(changes: readonly clients.kv.KvChange[], context: ReadContext): Promise<void> {
		const {listener, clock} = this.dependencies;
		this.#hasFoundChanges = changes.length > 0;
		let begunAt = clock.monotonicNow();
		for (const change of changes) {
			if (clock.monotonicNow() - begunAt >= maxBlockMs) {
				await clients.timeouts.waitForInput(); // eslint-disable-line no-await-in-loop -- Reads input between changes.
				begunAt = clock.monotonicNow();
			}

			if (this.#revision === undefined) {
				return;
			}

			listener.onChange(change, context);
		}
	}

	/**
	 * Records that a call was successful, after calls that may have failed, and returns its circumstances.
	 *
	 * @param startedAt - When the call began.
	 * @param suspendedMs - Time for which the VM had been suspended until then.
	 */
	#context(startedAt: number, suspendedMs: number): ReadContext {
		const times = this.#callTimes(startedAt);
		const now = times.endedAt;
		const hadFailed = this.#unavailableSince !== undefined;
		this.#lapses.recordResponse({monotonic: now - times.suspendedMs, suspendAware: now}, times.suspendedMs - suspendedMs);
		const lapse = this.#lapses.lapseAt(now);
		if (hadFailed) {
			this.dependencies.listener.onLapse?.(lapse);
		}

		return {
			lapse,
			startedAt,
			changed: this.#changeTimes.intervalOf(times),
		};
	}

	#choosePollWait(now: number): number {
		const {pollWaitMs, probeWaitMs, lapsePollWaitMs, maxUnconfirmedMs} = this.options;
		if (this.#unavailableSince !== undefined) {
			return probeWaitMs;
		}

		const longestMs = this.#lapses.lapseAt(now) === undefined ? pollWaitMs : lapsePollWaitMs;
		const untilLimitMs = Math.floor(this.#respondedAfter + maxUnconfirmedMs - now);
		return Math.min(longestMs, Math.max(minPollWaitMs, untilLimitMs));
	}

	/** Returns the times of a call that ends now. */
	#callTimes(startedAt: number): core.store.CallTimes {
		const {monotonic, suspendAware} = clocks.readInstant(this.dependencies.clock);
		return {startedAt, endedAt: suspendAware, suspendedMs: suspendAware - monotonic};
	}

	#recordReturn({era, entries}: clients.kv.KvSnapshot): void {
		if (this.#hasReturned) {
			this.#hasReturned = false;
			this.dependencies.log.write(eventLog.LogEvent.StoreReread, {prefix: this.dependencies.prefix, era, entries: entries.length});
			this.dependencies.listener.onReturn?.();
		}
	}

	#recordSuccess(): void {
		this.#retryDelayMs = this.options.minRetryDelayMs;
		if (this.#unavailableSince !== undefined) {
			const awayMs = Math.round(this.dependencies.clock.monotonicNow() - this.#unavailableSince);
			this.#unavailableSince = undefined;
			this.dependencies.log.write(eventLog.LogEvent.StoreRegained, {prefix: this.dependencies.prefix, awayMs});
		}
	}

	#recordFailure(failure: clients.kv.KvError, start: clocks.Instant): void {
		this.#changeTimes.recordFailure();
		this.#recordAvailability(failure, start);
		if (this.#unavailableSince === undefined) {
			this.#unavailableSince = this.dependencies.clock.monotonicNow();
			this.dependencies.log.write(eventLog.LogEvent.StoreLost, {
				prefix: this.dependencies.prefix, code: failure.code, problem: failure.message,
			});
		}
	}

	/** Records whether the store is unavailable; a store that rejects calls by its rate limit is not. */
	#recordAvailability({code}: clients.kv.KvError, start: clocks.Instant): void {
		const now = clocks.readInstant(this.dependencies.clock);
		if (code === clients.kv.KvErrorCode.RateLimited) {
			this.#lapses.recordResponse(now);
		} else {
			this.#lapses.recordFailure(start.monotonic, now.suspendAware);
		}

		const lapse = this.#lapses.lapseAt(now.suspendAware);
		if (lapse !== undefined) {
			this.dependencies.listener.onLapse?.(lapse);
		}
	}

	/** @param startedAt - When the failed call began. */
	async #waitBeforeRetry(startedAt: number): Promise<void> {
		const retryDelayMs = this.#retryDelayMs;
		const passedMs = this.dependencies.clock.monotonicNow() - startedAt;
		this.#retryDelayMs = Math.min(this.options.maxRetryDelayMs, retryDelayMs * 2);
		await this.#sleep(Math.max(this.options.minRetryDelayMs, retryDelayMs - passedMs));
	}

	async #sleep(ms: number): Promise<void> {
		await (this.dependencies.sleep ?? timers.setTimeout)(ms);
	}
}
