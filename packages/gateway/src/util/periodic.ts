import type * as eventLog from './event-log.js';

/** A task that runs again and again until it is stopped. */
export type Periodic = {
	stop(): void;
};

/**
 * Runs a task, then waits, and so on; runs never overlap. Errors are logged and do not end the series.
 *
 * @param name - Names the task in the log.
 */
export function runPeriodically(
	name: string,
	intervalMs: number,
	log: eventLog.EventLog,
	internalError: eventLog.LogEvent,
	task: () => Promise<void> | void,
): Periodic {
	let isStopped = false;
	let timer: NodeJS.Timeout | undefined;
	const run = async (): Promise<void> => {
		try {
			await task();
		} catch (err) {
			log.write(internalError, {task: name, problem: String(err)});
		}

		if (!isStopped) {
			timer = setTimeout(run, intervalMs);
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
