import * as core from '@bluebellmast/core';
import sonicBoom from 'sonic-boom';

/** Names of log events. */
export const {LogEvent} = core.log; // eslint-disable-line @typescript-eslint/naming-convention -- An enum under its own name.

/** Writes structured log lines. */
export interface EventLog { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	write<Event extends core.log.LogEvent>(event: Event, fields: core.log.LogFieldsByEvent[Event]): void;
}

/** Destination of log lines that never blocks the caller. */
export type LogSink = {
	/** Writes text, or drops it if the buffer is full. @returns Whether the text was accepted. */
	write(text: string): boolean;
	/** Waits until all accepted text has been written, for at most `maxMs` milliseconds. */
	flush(maxMs: number): Promise<void>;
};

/** Options of {@link BoundedEventLog}. */
export type BoundedEventLogOptions = {
	readonly vm: string;
	readonly sink: LogSink;
	/** Returns milliseconds since the Unix epoch. */
	readonly now: () => number;
	/** Limit of lines per second, above which lines are dropped and counted; 300 by default. */
	readonly linesPerSecond?: number;
	/** Number of these lines that are reserved for events other than those of requests; 50 by default. */
	readonly reservedLines?: number;
};

/** A VM writes about 150 lines per second on the busiest standard day, so only bursts reach the limit. */
const defaultLinesPerSecond = 300;
/** More than the lines of other events in the busiest second of a simulated day. */
const defaultReservedLines = 50;
const msPerSecond = 1000;

/**
 * Writes JSON lines. Lines above the limit are dropped and counted. Request events have a lower limit than state changes,
 * since a state change can explain many requests.
 */
export class BoundedEventLog implements EventLog {
	/** Number of lines that were dropped since the start. */
	droppedLines = 0;
	readonly #linesPerSecond: number;
	readonly #requestLinesPerSecond: number;
	#second = 0;
	#linesInSecond = 0;
	/** Number of dropped lines that have not been reported in the log yet. */
	#unreportedDrops = 0;

	constructor(private readonly options: BoundedEventLogOptions) {
		this.#linesPerSecond = options.linesPerSecond ?? defaultLinesPerSecond;
		this.#requestLinesPerSecond = this.#linesPerSecond - (options.reservedLines ?? defaultReservedLines);
	}

	write<Event extends core.log.LogEvent>(event: Event, fields: core.log.LogFieldsByEvent[Event]): void {
		const at = this.options.now();
		this.#updateSecond(Math.floor(at / msPerSecond));
		const limit = core.log.isRequestEvent(event) ? this.#requestLinesPerSecond : this.#linesPerSecond;
		if (this.#linesInSecond >= limit || !this.#append(at, event, fields)) {
			this.#countDrop();
			return;
		}

		if (this.#unreportedDrops > 0 && this.#append(at, LogEvent.LinesDropped, {lines: this.#unreportedDrops})) {
			this.#unreportedDrops = 0;
		}
	}

	/** Waits until all lines have been written, for at most `maxMs` milliseconds. */
	async flush(maxMs: number): Promise<void> {
		await this.options.sink.flush(maxMs);
	}

	#updateSecond(second: number): void {
		if (second !== this.#second) {
			this.#second = second;
			this.#linesInSecond = 0;
		}
	}

	#countDrop(): void {
		this.droppedLines += 1;
		this.#unreportedDrops += 1;
	}

	#append(at: number, event: core.log.LogEvent, fields: Readonly<Record<string, unknown>>): boolean {
		this.#linesInSecond += 1;
		return this.options.sink.write(`${JSON.stringify({
			at, vm: this.options.vm, event, ...fields,
		})}\n`);
	}
}

const stdoutFd = 1;
/** Maximum number of bytes that are buffered for a slow reader: several seconds at the limit of lines. */
const maxBufferedBytes = 262_144;

/** Writes to a file descriptor, standard output by default, in the thread pool, so that a slow or stopped reader blocks nothing. */
export class FileDescriptorSink implements LogSink {
	readonly #stream: InstanceType<typeof sonicBoom.SonicBoom>;
	#isDropped = false;

	constructor(fd = stdoutFd) {
		this.#stream = new sonicBoom.SonicBoom({fd, sync: false, maxLength: maxBufferedBytes});
		this.#stream.on('drop', () => {
			this.#isDropped = true;
		});
		this.#stream.on('error', () => {
			// The reader has closed the pipe: the error can't be logged, and the gateway continues without a log.
			this.#isDropped = true;
		});
	}

	write(text: string): boolean {
		this.#isDropped = false;
		this.#stream.write(text);
		return !this.#isDropped;
	}

	async flush(maxMs: number): Promise<void> {
		await new Promise<void>(resolve => {
			const timer = setTimeout(resolve, maxMs);
			this.#stream.flush(() => {
				clearTimeout(timer);
				resolve();
			});
		});
	}
}
