import process from 'node:process';
import createDebug from 'debug';

const debug = createDebug('bluebellmast:faults');

/**
 * Installs handlers that report uncaught exceptions and unhandled rejections and keep the process running. Without them, a
 * message that a router cannot handle would terminate every router that receives it.
 *
 * @param report - Called with each error.
 */
export function installUncaughtErrorHandlers(report: (error: unknown) => void): void {
	const handle = (error: unknown) => {
		debug('uncaught error: %s', error instanceof Error ? error.stack : String(error));
		report(error);
	};

	process.on('unhandledRejection', handle);
	process.on('uncaughtException', handle);
}
