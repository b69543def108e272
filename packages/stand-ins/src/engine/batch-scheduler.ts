import type * as fault from '../fault/index.js';
import * as util from '../util/index.js';
import type * as engineOptions from './engine-options.js';
import * as engineTask from './engine-task.js';
import type * as prefixCache from './prefix-cache.js';

const millisecondsPerSecond = 1000;

/**
 * Continuous batching: each step computes a chunk of one prompt and generates one token for each request whose
 * prompt is done. A step takes longer with more running requests.
 */
export class BatchScheduler {
	readonly #queue: engineTask.EngineTask[] = [];
	readonly #running = new Set<engineTask.EngineTask>();
	#stepping = false;
	#stopped = false;
	/** Time that the last step should have ended; timers are late, and the next step makes up for it. */
	#stepEndsAt = 0;

	constructor(
		private readonly settings: engineOptions.EngineSettings,
		private readonly cache: prefixCache.PrefixCache,
		private readonly faults: fault.FaultState,
		private readonly onBegin: (task: engineTask.EngineTask) => void,
	) {}

	/** Requests being worked on. */
	get running(): number {
		return this.#running.size;
	}

	/** Requests that wait for a slot. */
	get queued(): number {
		return this.#queue.length;
	}

	/** Prompt tokens that are still to be computed. */
	get queuedTokens(): number {
		const tasks = [...this.#queue, ...this.#running];
		return tasks.reduce((sum, task) => sum + (task.state === engineTask.TaskState.Queued ? task.promptTokens : task.missingTokens), 0);
	}

	/** Queues a task by priority, then by arrival. */
	add(task: engineTask.EngineTask): void {
		const {priority} = task.request.body;
		const index = this.#queue.findIndex(other => other.request.body.priority < priority);
		this.#queue.splice(index === -1 ? this.#queue.length : index, 0, task);
		if (!this.#stepping) {
			void this.#run();
		}
	}

	/** Ends all work. */
	stop(): void {
		this.#stopped = true;
	}

	async #run(): Promise<void> {
		this.#stepping = true;
		this.#stepEndsAt = Date.now();
		while (!this.#stopped && (this.#queue.length > 0 || this.#running.size > 0)) {
			await this.faults.whenThawed(); // eslint-disable-line no-await-in-loop
			this.#admit();
			const prefilling = this.#nextPrefill();
			this.#matchAgain(prefilling);
			const chunk = Math.min(prefilling?.missingTokens ?? 0, this.settings.prefillChunkTokens);
			await this.#wait(this.#stepDuration(chunk)); // eslint-disable-line no-await-in-loop
			await this.faults.whenThawed(); // eslint-disable-line no-await-in-loop
			this.#generate();
			this.#advance(prefilling, chunk);
		}

		this.#stepping = false;
	}

	async #wait(durationMs: number): Promise<void> {
		const now = Date.now();
		this.#stepEndsAt = Math.max(this.#stepEndsAt, now - durationMs) + durationMs;
		await util.sleep(Math.max(this.#stepEndsAt - now, 1));
	}

	#stepDuration(chunk: number): number {
		const {stepMs, stepPerRequestMs, prefillTokensPerSecond} = this.settings;
		return stepMs + (stepPerRequestMs * this.#running.size) + (chunk / prefillTokensPerSecond * millisecondsPerSecond);
	}

	#admit(): void {
		for (const task of this.#running) {
			if (task.ended) {
				this.#running.delete(task);
			}
		}

		while (this.#running.size < this.settings.slots && this.#queue.length > 0) {
			const task = this.#queue.shift()!;
			if (!task.ended) {
				this.#begin(task);
			}
		}
	}

	#begin(task: engineTask.EngineTask): void {
		this.#match(task);
		task.state = task.missingTokens > 0 ? engineTask.TaskState.Prefill : engineTask.TaskState.Decode;
		this.#running.add(task);
		this.onBegin(task);
	}

	/** Matches the prefix once more when its prefill begins: prompts before it may have computed the same pieces. */
	#matchAgain(task: engineTask.EngineTask | undefined): void {
		if (!task || task.prefillBegun) {
			return;
		}

		task.prefillBegun = true;
		this.#match(task);
	}

	#match(task: engineTask.EngineTask): void {
		const {body} = task.request;
		task.hits = this.cache.match(body.cache_salt, body.prefix.map(piece => piece.key));
		task.missingTokens = task.promptTokens - task.hits.reduce((sum, piece) => sum + piece.tokens, 0);
	}

	#nextPrefill(): engineTask.EngineTask | undefined {
		return [...this.#running].find(task => task.state === engineTask.TaskState.Prefill);
	}

	#advance(task: engineTask.EngineTask | undefined, chunk: number): void {
		if (!task || task.ended) {
			return;
		}

		task.missingTokens -= chunk;
		if (task.missingTokens > 0) {
			return;
		}

		task.state = engineTask.TaskState.Decode;
		const {body, account, weights} = task.request;
		for (const piece of body.prefix) {
			this.cache.store({
				key: piece.key, salt: body.cache_salt, tokens: piece.tokens, account, weights,
			});
		}
	}

	#generate(): void {
		for (const task of this.#running) {
			if (task.state === engineTask.TaskState.Decode) {
				task.generate();
			}

			if (task.ended) {
				this.#running.delete(task);
			}
		}
	}
}
