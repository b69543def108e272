import * as eventLog from './event-log.js';

/** A task that runs again and again until it is stopped. */
export type PeriodicTaskHandle = {
	stop(): void;
};

/** A task and how often it runs. */
export type PeriodicTask = {
	/** Names the task in the log. */
	readonly name: string;
	/** Pause between two runs. */
	readonly intervalMs: number;
	readonly run: () => Promise<void> | void;
};

/** Runs a task, then waits, and so on; runs never overlap. Errors are logged and do not end the series. */
export function runPeriodically(task: PeriodicTask, log: eventLog.EventLog): PeriodicTaskHandle {
	let isStopped = false;
	let timer: NodeJS.Timeout | undefined;
	const run = async (): Promise<void> => {
		try {
			await task.run();
		} catch (err) {
			log.write(eventLog.LogEvent.InternalError, {task: task.name, problem: String(err)});
		}

		if (!isStopped) {
			timer = setTimeout(run, task.intervalMs);
		}
	};

	timer = setTimeout(run, 0);
	return {
		stop() {
			isStopped = true;
			clearTimeout(timer);
		},
	};
}
