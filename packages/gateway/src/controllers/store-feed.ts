import * as timers from 'node:timers/promises';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';

/** Circumstances of a read of the store. */
export type ReadContext = {
	/** Whether the store was unavailable shortly before, so that entries of live writers may have expired. */
	readonly maybeLapsed: boolean;
	/**
	 * When the call before began that delivered all earlier changes; what this read shows as new was written later. `-Infinity` for the
	 * first read. Times are milliseconds of a clock that also counts the time that the VM was suspended.
	 */
	readonly changedAfter: number;
	/**
	 * Earliest time to assume for what this read shows as new: within the delay of the feed while the store can be reached, and
	 * regardless of how long it could not be reached before.
	 */
	readonly changedSince: number;
	/** When the read ended. */
	readonly readAt: number;
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
	 */
	onConfirmed?(startedAt: number): void;
}

/** Options of a {@link StoreFeed}, in milliseconds. */
export type StoreFeedOptions = {
	/** Longest wait of one poll; bounds the time between confirmations and the time to detect an unresponsive connection. */
	readonly pollWaitMs: number;
	/** Delay after a failed call; doubles up to `maxRetryDelayMs` while calls fail. */
	readonly minRetryDelayMs: number;
	readonly maxRetryDelayMs: number;
	/** Time after the last failed call during which missing entries may have expired in an outage and may return. */
	readonly lapseWindowMs: number;
	/** Longest time until the feed reads a change once the store can be reached again. */
	readonly maxRecoveryMs: number;
};

/**
 * One poll per second confirms the configuration well within the limits on the revocation of keys. Entries return within two
 * seconds after an outage; the lapse window adds one second for writing them. The recovery covers a delay between two calls, the
 * timeout of a connection attempt and that of a call.
 */
export const defaultStoreFeedOptions: StoreFeedOptions = {
	pollWaitMs: 1000, minRetryDelayMs: 100, maxRetryDelayMs: 400, lapseWindowMs: 3000, maxRecoveryMs: 2000,
};

/** Duration of a poll up to which the changes that it returned can have been written before it began, in milliseconds. */
const promptPollMs = 100;

/** Dependencies of a {@link StoreFeed}. */
export type StoreFeedDependencies = {
	readonly store: clients.kv.KvChangeFeed;
	readonly prefix: string;
	readonly listener: StoreFeedListener;
	/** Returns the pause after a poll that found changes, in milliseconds, so that one poll gathers several; 0 by default. */
	readonly pollPauseMs?: () => number;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/** Reads the entries under a prefix of the store and follows their changes; recovers from outages and from lost history. */
export class StoreFeed {
	#revision: number | undefined;
	#lastFailureAt = -Infinity;
	/** When the last successful call began and ended, in milliseconds of the clock that counts suspensions. */
	#confirmedAt = -Infinity;
	#respondedAt = -Infinity;
	/** Time that the VM had been suspended until then, in milliseconds. */
	#suspendedMs = 0;
	#retryDelayMs: number;
	#isStopped = false;
	/** Whether the last poll ended before its longest wait, since there were changes. */
	#hasFoundChanges = false;
	/** When calls began to fail, in milliseconds of the monotonic clock; absent while they succeed. */
	#unavailableSince: number | undefined;

	constructor(
		private readonly dependencies: StoreFeedDependencies,
		private readonly options: StoreFeedOptions = defaultStoreFeedOptions,
	) {
		this.#retryDelayMs = options.minRetryDelayMs;
	}

	/** Follows the prefix until {@link StoreFeed.stop}. */
	async run(): Promise<void> {
		while (!this.#isStopped) {
			const isOk = await this.#readOrPoll(); // eslint-disable-line no-await-in-loop -- Calls are sequential.
			if (!isOk && !this.#isStopped) {
				await this.#waitBeforeRetry(); // eslint-disable-line no-await-in-loop -- Delays the next call after a failure.
			} else if (this.#hasFoundChanges && !this.#isStopped) {
				await timers.setTimeout(this.dependencies.pollPauseMs?.() ?? 0); // eslint-disable-line no-await-in-loop -- Gathers changes.
			}
		}
	}

	/** Ends the feed after the call in progress. */
	stop(): void {
		this.#isStopped = true;
	}

	async #readOrPoll(): Promise<boolean> {
		const startedAt = this.dependencies.clock.suspendAwareNow();
		const revision = this.#revision;
		this.#hasFoundChanges = false;
		const failure = revision === undefined ? await this.#readSnapshot(startedAt) : await this.#poll(revision, startedAt);
		if (failure === undefined) {
			this.#recordSuccess();
			this.#confirmedAt = startedAt;
			this.#respondedAt = this.dependencies.clock.suspendAwareNow();
			this.#suspendedMs = this.#countSuspendedMs();
			this.dependencies.listener.onConfirmed?.(startedAt);
			return true;
		}

		if (failure.code === clients.kv.KvErrorCode.HistoryLost) {
			this.#revision = undefined;
			return true;
		}

		this.#recordFailure(failure);
		return false;
	}

	async #readSnapshot(startedAt: number): Promise<clients.kv.KvError | undefined> {
		const snapshot = await this.dependencies.store.snapshot(this.dependencies.prefix);
		return core.util.matchEither(snapshot, failure => failure, read => {
			this.#revision = read.revision;
			this.dependencies.listener.onSnapshot(read.entries, this.#context(startedAt));
			return undefined;
		});
	}

	async #poll(revision: number, startedAt: number): Promise<clients.kv.KvError | undefined> {
		const polled = await this.dependencies.store.poll(this.dependencies.prefix, revision, this.options.pollWaitMs);
		return core.util.matchEither(polled, failure => failure, read => {
			this.#revision = Math.max(revision, read.revision);
			this.#hasFoundChanges = read.changes.length > 0;
			const context = this.#context(startedAt);
			for (const change of read.changes) {
				this.dependencies.listener.onChange(change, context);
			}

			return undefined;
		});
	}

	/** @param startedAt - When the call began. */
	#context(startedAt: number): ReadContext {
		const {clock} = this.dependencies;
		const readAt = clock.suspendAwareNow();
		return {
			maybeLapsed: clock.monotonicNow() - this.#lastFailureAt < this.options.lapseWindowMs,
			changedAfter: this.#confirmedAt,
			changedSince: this.#changedSince(startedAt, readAt),
			readAt,
		};
	}

	#changedSince(startedAt: number, readAt: number): number {
		if (this.#confirmedAt === -Infinity) {
			return readAt;
		}

		const suspendedMs = this.#countSuspendedMs() - this.#suspendedMs;
		if (this.#unavailableSince !== undefined || suspendedMs > 0) {
			return Math.max(this.#confirmedAt, readAt - suspendedMs - this.options.maxRecoveryMs);
		}

		// A poll that waits returns as soon as there is a change; one that returns at once shows what changed since the last one ended.
		return readAt - startedAt > promptPollMs ? readAt : this.#respondedAt;
	}

	#countSuspendedMs(): number {
		const {clock} = this.dependencies;
		return Math.round(clock.suspendAwareNow() - clock.monotonicNow());
	}

	#recordSuccess(): void {
		this.#retryDelayMs = this.options.minRetryDelayMs;
		if (this.#unavailableSince !== undefined) {
			const awayMs = Math.round(this.dependencies.clock.monotonicNow() - this.#unavailableSince);
			this.#unavailableSince = undefined;
			this.dependencies.log.write(eventLog.LogEvent.StoreRegained, {prefix: this.dependencies.prefix, awayMs});
		}
	}

	#recordFailure(failure: clients.kv.KvError): void {
		this.#lastFailureAt = this.dependencies.clock.monotonicNow();
		if (this.#unavailableSince === undefined) {
			this.#unavailableSince = this.#lastFailureAt;
			this.dependencies.log.write(eventLog.LogEvent.StoreLost, {
				prefix: this.dependencies.prefix, code: failure.code, problem: failure.message,
			});
		}
	}

	async #waitBeforeRetry(): Promise<void> {
		const retryDelayMs = this.#retryDelayMs;
		this.#retryDelayMs = Math.min(this.options.maxRetryDelayMs, retryDelayMs * 2);
		await timers.setTimeout(retryDelayMs);
	}
}
