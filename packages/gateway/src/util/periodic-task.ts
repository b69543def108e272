import * as eventLog from './event-log.js';

/** Stops a task that runs periodically. */
export type PeriodicTaskHandle = {
	stop(): void;
};

/** A task that runs periodically. */
export type PeriodicTask = {
	/** Name of the task in the log. */
	readonly name: string;
	/** Time between the end of a run and the start of the next one. */
	readonly intervalMs: number;
	readonly run: () => Promise<void> | void;
};

/** Runs a task periodically, starting immediately; runs never overlap. Errors are logged and do not stop the task. */
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
