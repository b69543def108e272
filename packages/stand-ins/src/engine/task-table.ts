import type * as engineTask from './engine-task.js';

/** Tasks by attempt id, kept for a while after their end or after their last reader went away. */
export class TaskTable {
	readonly #tasks = new Map<string, engineTask.EngineTask>();
	readonly #expiryTimers = new Map<string, NodeJS.Timeout>();

	constructor(private readonly resumeWindowMs: number) {}

	/** Returns the task of an attempt. */
	get(attemptId: string): engineTask.EngineTask | undefined {
		return this.#tasks.get(attemptId);
	}

	/** Adds a task. */
	add(task: engineTask.EngineTask): void {
		this.#tasks.set(task.request.attemptId, task);
	}

	/** Returns all tasks that have not ended. */
	active(): engineTask.EngineTask[] {
		return [...this.#tasks.values()].filter(task => !task.isEnded);
	}

	/** Cancels and forgets the task when no reader comes back in time. */
	scheduleExpiry(task: engineTask.EngineTask): void {
		if (task.listenerCount > 0) {
			return;
		}

		const {attemptId} = task.request;
		this.cancelExpiry(task);
		const timer = setTimeout(() => {
			task.cancel();
			this.#tasks.delete(attemptId);
			this.#expiryTimers.delete(attemptId);
		}, this.resumeWindowMs);
		timer.unref();
		this.#expiryTimers.set(attemptId, timer);
	}

	/** Keeps the task. */
	cancelExpiry(task: engineTask.EngineTask): void {
		clearTimeout(this.#expiryTimers.get(task.request.attemptId));
		this.#expiryTimers.delete(task.request.attemptId);
	}

	/** Cancels all tasks. */
	stop(): void {
		for (const task of this.#tasks.values()) {
			this.cancelExpiry(task);
			task.cancel();
		}
	}
}
