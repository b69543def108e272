import process from 'node:process';
import createDebug from 'debug';

const debug = createDebug('bluebellmast:faults');

/**
 * Keeps the process alive when one of its tasks fails: the fault is reported, and all other work goes on. A message that
 * one router cannot handle would otherwise end every router that it reaches.
 *
 * @param report - Is told of each fault.
 */
export function installUncaughtErrorHandlers(report: (fault: unknown) => void): void {
	const handle = (fault: unknown) => {
		debug('a task failed: %s', fault instanceof Error ? fault.stack : String(fault));
		report(fault);
	};

	process.on('unhandledRejection', handle);
	process.on('uncaughtException', handle);
}
