import type * as http from 'node:http';
import type * as fault from '../fault/index.js';
import type * as engineTask from './engine-task.js';

/** How a stream is written. */
export type StreamOptions = {
	/** Index of the first event to write. */
	readonly firstEvent: number;
	readonly heartbeatMs: number;
	/** Called when the reader is gone or has everything. */
	readonly onClose: () => void;
};

/** Writes the events of a task to one reader, no faster than the reader takes them. */
class StreamWriter {
	#next: number;
	#blocked = false;
	#ended = false;
	#delayed = 0;
	readonly #unlisten: () => void;
	readonly #timer: NodeJS.Timeout;

	constructor(
		private readonly task: engineTask.EngineTask,
		private readonly res: http.ServerResponse,
		private readonly faults: fault.FaultState,
		options: StreamOptions,
	) {
		this.#next = options.firstEvent;
		this.#unlisten = task.listen(() => {
			this.#schedule();
		});
		this.#timer = setInterval(() => {
			this.#heartbeat();
		}, options.heartbeatMs);
		this.#timer.unref();
		res.on('drain', () => {
			this.#blocked = false;
			this.#schedule();
		});
		res.once('close', () => {
			this.#unlisten();
			clearInterval(this.#timer);
			options.onClose();
		});
	}

	start(): void {
		this.#schedule();
	}

	#schedule(): void {
		if (this.faults.delayMs === 0 && !this.faults.frozen && this.#delayed === 0) {
			this.#pump();
			return;
		}

		this.#delayed += 1;
		void this.#pumpLater();
	}

	async #pumpLater(): Promise<void> {
		await this.faults.beforeAnswer();
		this.#delayed -= 1;
		this.#pump();
	}

	#pump(): void {
		while (!this.#blocked && !this.#ended && this.#next < this.task.events.length) {
			const data = this.task.events[this.#next]!;
			this.#blocked = !this.res.write(`id: ${this.#next}\ndata: ${data}\n\n`);
			this.#next += 1;
		}

		if (this.task.ended && this.#next >= this.task.events.length && !this.#ended) {
			this.#ended = true;
			this.res.end();
		}
	}

	#heartbeat(): void {
		if (!this.#blocked && !this.#ended && !this.faults.frozen) {
			this.res.write(': heartbeat\n\n');
		}
	}
}

/** Writes a task's events to a reader until the task ends or the reader goes away. */
export function writeStream(
	task: engineTask.EngineTask,
	res: http.ServerResponse,
	faults: fault.FaultState,
	options: StreamOptions,
): void {
	new StreamWriter(task, res, faults, options).start();
}
