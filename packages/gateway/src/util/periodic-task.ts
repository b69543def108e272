import * as timers from 'node:timers/promises';
import * as clients from '@bluebellmast/kv';
import * as eventLog from './event-log.js';

/** Stops tasks that run periodically. */
export type PeriodicTaskHandle = {
	stop(): void;
};

/** A task that runs periodically. */
export type PeriodicTask = {
	/** Name of the task in the log. */
	readonly name: string;
	/** Time between the end of a run and the start of the next one, in milliseconds; a multiple of the step of the timer. */
	readonly intervalMs: number;
	readonly run: () => Promise<void> | void;
};

type TaskState = {
	readonly task: PeriodicTask;
	isRunning: boolean;
	/** When the next run is due; `-Infinity` before the first one. */
	dueAt: number;
};

/** Decides which tasks start at each step of a timer. Runs of a task never overlap. */
export class TaskSchedule {
	readonly #states: readonly TaskState[];

	/** @param stepMs - Interval of the timer, in milliseconds. A task starts at the step that is nearest to its time. */
	constructor(tasks: readonly PeriodicTask[], private readonly stepMs: number) {
		this.#states = tasks.map(task => ({task, isRunning: false, dueAt: -Infinity}));
	}

	/** Returns the tasks that are due, which count as running until {@link TaskSchedule.recordEnd}. */
	takeDue(now: number): PeriodicTask[] {
		const due: PeriodicTask[] = [];
		for (const state of this.#states) {
			if (!state.isRunning && now >= state.dueAt) {
				state.isRunning = true;
				due.push(state.task);
			}
		}

		return due;
	}

	/** Records the end of a run. */
	recordEnd(task: PeriodicTask, now: number): void {
		const state = this.#states.find(other => other.task === task)!;
		state.isRunning = false;
		state.dueAt = now + task.intervalMs - (this.stepMs / 2);
	}
}

/** Options of {@link runPeriodically}. */
export type PeriodicTasksOptions = {
	/** Interval of the timer, in milliseconds. */
	readonly stepMs: number;
	/** Returns milliseconds of the monotonic clock. */
	readonly now: () => number;
	readonly log: eventLog.EventLog;
	/** Called if the event loop was blocked, before the input that arrived meanwhile is read. */
	readonly onBlocked?: (blockedMs: number) => void;
};

/** Delay of the timer from which on the event loop counts as blocked, in milliseconds; a wait for the processor of some steps is usual. */
const minBlockedMs = 100;

/**
 * Runs tasks periodically, starting immediately, by one timer, so that the process wakes up once for all that are due. The tasks run after the
 * input that had arrived by then was read. Errors are logged and do not stop a task; times for which the event loop was blocked are logged as well.
 */
export function runPeriodically(tasks: readonly PeriodicTask[], {stepMs, now, log, onBlocked}: PeriodicTasksOptions): PeriodicTaskHandle {
	const schedule = new TaskSchedule(tasks, stepMs);
	let isStopped = false;
	let timer: NodeJS.Timeout | undefined;
	let dueAt = now();
	const run = async (task: PeriodicTask): Promise<void> => {
		try {
			await task.run();
		} catch (err) {
			log.write(eventLog.LogEvent.InternalError, {task: task.name, problem: String(err)});
		}

		schedule.recordEnd(task, now());
	};

	const runDue = (): void => {
		for (const task of schedule.takeDue(now())) {
			if (!isStopped) {
				void run(task);
			}
		}
	};

	const reportBlockSince = (since: number): boolean => {
		const blockedMs = Math.round(now() - since);
		const isBlocked = blockedMs >= minBlockedMs;
		if (isBlocked) {
			log.write(eventLog.LogEvent.EventLoopBlocked, {blockedMs});
			onBlocked?.(blockedMs);
		}

		return isBlocked;
	};

	const step = async (): Promise<void> => {
		reportBlockSince(dueAt);
		const firedAt = now();
		await timers.setImmediate();
		// A block after the timer is reported before the next turn reads what arrived meanwhile.
		if (reportBlockSince(firedAt)) {
			await clients.timeouts.waitForInput();
		}

		if (!isStopped) {
			runDue();
			dueAt = now() + stepMs;
			timer = setTimeout(step, stepMs);
		}
	};

	timer = setTimeout(step, 0);
	return {
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
