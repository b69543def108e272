import * as core from '@bluebellmast/core';
import sonicBoom from 'sonic-boom';

/** Names of the events in the log. */
export const {LogEvent} = core.log; // eslint-disable-line @typescript-eslint/naming-convention -- An enum under its own name.

/** Writes structured log lines. */
export interface EventLog { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	write<Event extends core.log.LogEvent>(event: Event, fields: core.log.LogFieldsByEvent[Event]): void;
}

/** Takes the text of log lines without ever blocking. */
export type LogSink = {
	/** Takes text; beyond its bound it drops the text. @returns Whether the text was taken. */
	write(text: string): boolean;
	/** Waits until all text has gone, for some milliseconds at most. */
	flush(maxMs: number): Promise<void>;
};

/** Options of {@link BoundedEventLog}. */
export type BoundedEventLogOptions = {
	readonly vm: string;
	readonly sink: LogSink;
	/** Unix milliseconds. */
	readonly now: () => number;
	/** Lines a second, beyond which lines are dropped and counted; 300 by default. */
	readonly linesPerSecond?: number;
	/** Part of these lines that single requests leave to all other events; 50 by default. */
	readonly reservedLines?: number;
};

/** A VM of the busiest standard day writes about 150 lines a second, so that only bursts reach the bound. */
const defaultLinesPerSecond = 300;
/** Lines of all other events in the busiest second of a played day are fewer. */
const defaultReservedLines = 50;
const msPerSecond = 1000;

/**
 * Writes JSON lines. Lines beyond the bound are dropped and counted; requests reach it before changes of belief do, by
 * which all of them are explained.
 */
export class BoundedEventLog implements EventLog {
	/** Lines that were dropped since the start. */
	droppedLines = 0;
	readonly #linesPerSecond: number;
	readonly #requestLinesPerSecond: number;
	#second = 0;
	#linesInSecond = 0;
	/** Dropped lines that no line has told of yet. */
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

	/** Waits until the lines have gone, for some milliseconds at most. */
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
/** Bytes that may wait for a slow reader: several seconds at the bound of lines. */
const maxBufferedBytes = 262_144;

/** Writes to a file descriptor, standard output by default, in the thread pool: a reader that is slow or stopped holds up nothing. */
export class FileDescriptorSink implements LogSink {
	readonly #stream: InstanceType<typeof sonicBoom.SonicBoom>;
	#isDropped = false;

	constructor(fd = stdoutFd) {
		this.#stream = new sonicBoom.SonicBoom({fd, sync: false, maxLength: maxBufferedBytes});
		this.#stream.on('drop', () => {
			this.#isDropped = true;
		});
		this.#stream.on('error', () => {
			// The reader is gone: the log itself can't take the reason, and the gateway goes on without it.
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
