import * as fs from 'node:fs';

/** Names of the events in the log. */
export enum LogEvent {
	Started = 'started',
	Stopping = 'stopping',
	Stopped = 'stopped',
	/** A signal to read the settings again; they hold for the life of a process. */
	SettingsKept = 'settings_kept',
	StoreLost = 'store_lost',
	StoreRegained = 'store_regained',
	CacheStoreLost = 'cache_store_lost',
	CacheStoreRegained = 'cache_store_regained',
	CacheStoreReset = 'cache_store_reset',
	StoreEntryInvalid = 'store_entry_invalid',
	ConfigAccepted = 'config_accepted',
	WeightTargetSeen = 'weight_target_seen',
	RolloutPlanSeen = 'rollout_plan_seen',
	RolloutPlanWritten = 'rollout_plan_written',
	OrderSent = 'order_sent',
	LeaderGained = 'leader_gained',
	LeaderLost = 'leader_lost',
	EndpointChanged = 'endpoint_changed',
	EndpointRemoved = 'endpoint_removed',
	EndpointUnresponsive = 'endpoint_unresponsive',
	EndpointResponsive = 'endpoint_responsive',
	RequestRejected = 'request_rejected',
	/** No endpoint has room; the request waits for it at the VM. */
	RequestWaiting = 'request_waiting',
	RequestSent = 'request_sent',
	AttemptFailed = 'attempt_failed',
	RequestEnded = 'request_ended',
	InternalError = 'internal_error',
	LinesDropped = 'lines_dropped',
}

/** Values of a log line. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes structured log lines. */
export interface EventLog { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	write(event: LogEvent, fields?: LogFields): void;
}

/** Options of {@link BoundedEventLog}. */
export type BoundedEventLogOptions = {
	readonly vm: string;
	/** File descriptor; standard output by default. */
	readonly fd?: number;
	/** Lines a second, beyond which lines are dropped and counted; 300 by default. */
	readonly linesPerSecond?: number;
	/** Bytes that may wait for a slow reader, beyond which lines are dropped; 256 KiB by default. */
	readonly maxWaitingBytes?: number;
};

const standardOutput = 1;
const defaultLinesPerSecond = 300;
const defaultMaxWaitingBytes = 262_144;
const msPerSecond = 1000;

/**
 * Writes JSON lines without ever blocking the event loop: writes run in the thread pool, one at a time, and lines beyond
 * the bounds are dropped and counted.
 */
export class BoundedEventLog implements EventLog {
	readonly #options: Required<BoundedEventLogOptions>;
	#waiting: string[] = [];
	#waitingBytes = 0;
	#isWriting = false;
	#second = 0;
	#linesInSecond = 0;
	#dropped = 0;

	constructor(options: BoundedEventLogOptions) {
		this.#options = {
			fd: standardOutput, linesPerSecond: defaultLinesPerSecond, maxWaitingBytes: defaultMaxWaitingBytes, ...options,
		};
	}

	write(event: LogEvent, fields: LogFields = {}): void {
		const at = Date.now();
		this.#startSecond(Math.floor(at / msPerSecond));
		if (this.#linesInSecond >= this.#options.linesPerSecond || this.#waitingBytes >= this.#options.maxWaitingBytes) {
			this.#dropped += 1;
			return;
		}

		if (this.#dropped > 0) {
			const lines = this.#dropped;
			this.#dropped = 0;
			this.#append(at, LogEvent.LinesDropped, {lines});
		}

		this.#append(at, event, fields);
		this.#flush();
	}

	#startSecond(second: number): void {
		if (second !== this.#second) {
			this.#second = second;
			this.#linesInSecond = 0;
		}
	}

	#append(at: number, event: LogEvent, fields: LogFields): void {
		const line = `${JSON.stringify({
			at, vm: this.#options.vm, event, ...fields,
		})}\n`;
		this.#linesInSecond += 1;
		this.#waiting.push(line);
		this.#waitingBytes += line.length;
	}

	#flush(): void {
		if (this.#isWriting || this.#waiting.length === 0) {
			return;
		}

		const chunk = this.#waiting.join('');
		this.#waiting = [];
		this.#waitingBytes = 0;
		this.#isWriting = true;
		fs.write(this.#options.fd, chunk, err => {
			this.#isWriting = false;
			if (err) {
				// The log itself can't take the reason: the lines count as dropped.
				this.#dropped += 1;
				return;
			}

			this.#flush();
		});
	}
}
