import type * as engineTask from './engine-task.js';

/** Tasks by attempt id. A task without readers is kept for the resume window. */
export class TaskTable {
	readonly #tasks = new Map<string, engineTask.EngineTask>();
	readonly #expiryTimers = new Map<string, NodeJS.Timeout>();

	constructor(private readonly resumeWindowMs: number) {}

	/** Returns the task with an attempt id. */
	get(attemptId: string): engineTask.EngineTask | undefined {
		return this.#tasks.get(attemptId);
	}

	add(task: engineTask.EngineTask): void {
		this.#tasks.set(task.request.attemptId, task);
	}

	/** Returns the tasks that have not ended. */
	active(): engineTask.EngineTask[] {
		return [...this.#tasks.values()].filter(task => !task.isEnded);
	}

	/** Cancels and removes the task after the resume window, unless it has a reader or `cancelExpiry` is called. */
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

	/** Keeps the task, as a reader has connected to its stream. */
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
