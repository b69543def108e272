import type * as fault from '../fault/index.js';
import * as util from '../util/index.js';
import type * as engineOptions from './engine-options.js';
import * as engineTask from './engine-task.js';
import type * as prefixCache from './prefix-cache.js';

const millisecondsPerSecond = 1000;

/**
 * Simulates continuous batching. Each step prefills a chunk of one prompt and generates one token for every request
 * that is past its prefill. The duration of a step grows with the number of running requests.
 */
export class BatchScheduler {
	readonly #queue: engineTask.EngineTask[] = [];
	readonly #running = new Set<engineTask.EngineTask>();
	#isStepping = false;
	#isStopped = false;
	/** Scheduled end of the last step, as a Unix time in milliseconds. Timers fire late, so the next step is shortened by the delay. */
	#stepEndsAt = 0;

	constructor(
		private readonly settings: engineOptions.EngineSettings,
		private readonly cache: prefixCache.PrefixCache,
		private readonly faults: fault.FaultState,
		private readonly onStart: (task: engineTask.EngineTask) => void,
	) {}

	/** Number of requests in the running batch. */
	get runningCount(): number {
		return this.#running.size;
	}

	/** Number of requests that wait for a slot. */
	get queuedCount(): number {
		return this.#queue.length;
	}

	/** Prompt tokens of queued and running requests that are not computed yet. */
	get uncomputedPromptTokens(): number {
		const tasks = [...this.#queue, ...this.#running];
		return tasks.reduce((sum, task) => sum + (task.state === engineTask.TaskState.Queued ? task.promptTokens : task.remainingPrefillTokens), 0);
	}

	/** Queues a task by descending priority, then by arrival. */
	enqueue(task: engineTask.EngineTask): void {
		const {priority} = task.request.body;
		const index = this.#queue.findIndex(other => other.request.body.priority < priority);
		this.#queue.splice(index === -1 ? this.#queue.length : index, 0, task);
		if (!this.#isStepping) {
			void this.#runSteps();
		}
	}

	/** Stops the step loop. */
	stop(): void {
		this.#isStopped = true;
	}

	async #runSteps(): Promise<void> {
		this.#isStepping = true;
		this.#stepEndsAt = Date.now();
		while (!this.#isStopped && (this.#queue.length > 0 || this.#running.size > 0)) {
			await this.faults.waitWhileFrozen(); // eslint-disable-line no-await-in-loop
			this.#admitQueued();
			const prefillTask = this.#findNextPrefill();
			this.#rematchPrefix(prefillTask);
			const chunkTokens = Math.min(prefillTask?.remainingPrefillTokens ?? 0, this.settings.prefillChunkTokens);
			await this.#waitForStepEnd(this.#stepDurationMs(chunkTokens)); // eslint-disable-line no-await-in-loop
			await this.faults.waitWhileFrozen(); // eslint-disable-line no-await-in-loop
			this.#generateTokens();
			this.#advancePrefill(prefillTask, chunkTokens);
		}

		this.#isStepping = false;
	}

	async #waitForStepEnd(durationMs: number): Promise<void> {
		const now = Date.now();
		this.#stepEndsAt = Math.max(this.#stepEndsAt, now - durationMs) + durationMs;
		await util.sleep(Math.max(this.#stepEndsAt - now, 1));
	}

	#stepDurationMs(chunkTokens: number): number {
		const {stepMs, stepPerRequestMs, prefillTokensPerSecond} = this.settings;
		return stepMs + (stepPerRequestMs * this.#running.size) + (chunkTokens / prefillTokensPerSecond * millisecondsPerSecond);
	}

	#admitQueued(): void {
		for (const task of this.#running) {
			if (task.isEnded) {
				this.#running.delete(task);
			}
		}

		while (this.#running.size < this.settings.slots && this.#queue.length > 0) {
			const task = this.#queue.shift()!;
			if (!task.isEnded) {
				this.#startTask(task);
			}
		}
	}

	#startTask(task: engineTask.EngineTask): void {
		this.#matchPrefix(task);
		task.state = task.remainingPrefillTokens > 0 ? engineTask.TaskState.Prefill : engineTask.TaskState.Decode;
		this.#running.add(task);
		this.onStart(task);
	}

	/** Matches the prefix again when the prefill starts, since prompts that were prefilled meanwhile may share its pieces. */
	#rematchPrefix(task: engineTask.EngineTask | undefined): void {
		if (!task || task.isPrefillStarted) {
			return;
		}

		task.isPrefillStarted = true;
		this.#matchPrefix(task);
	}

	#matchPrefix(task: engineTask.EngineTask): void {
		const {body} = task.request;
		task.hits = this.cache.match(body.cache_salt, body.prefix.map(piece => piece.key));
		task.remainingPrefillTokens = task.promptTokens - task.hits.reduce((sum, piece) => sum + piece.tokens, 0);
	}

	#findNextPrefill(): engineTask.EngineTask | undefined {
		return [...this.#running].find(task => task.state === engineTask.TaskState.Prefill);
	}

	#advancePrefill(task: engineTask.EngineTask | undefined, chunkTokens: number): void {
		if (!task || task.isEnded) {
			return;
		}

		task.remainingPrefillTokens -= chunkTokens;
		if (task.remainingPrefillTokens > 0) {
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

	#generateTokens(): void {
		for (const task of this.#running) {
			if (task.state === engineTask.TaskState.Decode) {
				task.generateToken();
			}

			if (task.isEnded) {
				this.#running.delete(task);
			}
		}
	}
}
