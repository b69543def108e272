import type * as http from 'node:http';
import type * as fault from '../fault/index.js';
import type * as engineTask from './engine-task.js';

/** Options for writing a stream. */
export type StreamOptions = {
	/** Index of the first event to write. */
	readonly firstEventIndex: number;
	readonly heartbeatMs: number;
	/** Called when the response closes, whether complete or not. */
	readonly onClose: () => void;
};

/** Writes the events of a task to one response, respecting backpressure. */
class StreamWriter {
	#nextEventIndex: number;
	#isBlocked = false;
	#isEnded = false;
	#delayedWriteCount = 0;
	readonly #removeListener: () => void;
	readonly #heartbeatTimer: NodeJS.Timeout;

	constructor(
		private readonly task: engineTask.EngineTask,
		private readonly res: http.ServerResponse,
		private readonly faults: fault.FaultState,
		options: StreamOptions,
	) {
		this.#nextEventIndex = options.firstEventIndex;
		this.#removeListener = task.addListener(() => {
			this.#scheduleWrite();
		});
		this.#heartbeatTimer = setInterval(() => {
			this.#writeHeartbeat();
		}, options.heartbeatMs);
		this.#heartbeatTimer.unref();
		res.on('drain', () => {
			this.#isBlocked = false;
			this.#scheduleWrite();
		});
		res.once('close', () => {
			this.#removeListener();
			clearInterval(this.#heartbeatTimer);
			options.onClose();
		});
	}

	start(): void {
		this.#scheduleWrite();
	}

	#scheduleWrite(): void {
		if (this.faults.delayMs === 0 && !this.faults.isFrozen && this.#delayedWriteCount === 0) {
			this.#writeEvents();
			return;
		}

		this.#delayedWriteCount += 1;
		void this.#writeEventsAfterDelay();
	}

	async #writeEventsAfterDelay(): Promise<void> {
		await this.faults.waitBeforeResponse();
		this.#delayedWriteCount -= 1;
		this.#writeEvents();
	}

	#writeEvents(): void {
		while (!this.#isBlocked && !this.#isEnded && this.#nextEventIndex < this.task.events.length) {
			const data = this.task.events[this.#nextEventIndex]!;
			this.#isBlocked = !this.res.write(`id: ${this.#nextEventIndex}\ndata: ${data}\n\n`);
			this.#nextEventIndex += 1;
		}

		if (this.task.isEnded && this.#nextEventIndex >= this.task.events.length && !this.#isEnded) {
			this.#isEnded = true;
			this.res.end();
		}
	}

	#writeHeartbeat(): void {
		if (!this.#isBlocked && !this.#isEnded && !this.faults.isFrozen) {
			this.res.write(': heartbeat\n\n');
		}
	}
}

/** Writes a task's events to a response until the task ends or the response closes. */
export function writeStream(
	task: engineTask.EngineTask,
	res: http.ServerResponse,
	faults: fault.FaultState,
	options: StreamOptions,
): void {
	new StreamWriter(task, res, faults, options).start();
}
