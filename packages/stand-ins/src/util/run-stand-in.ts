import process from 'node:process';
import type * as standInServer from '../fault/stand-in-server.js';

/** Starts a stand-in as this process, prints its ready line, and stops it on SIGTERM or SIGINT. */
export async function runStandIn(standIn: standInServer.StandIn): Promise<void> {
	const addresses = await standIn.start();
	process.stdout.write(`${JSON.stringify({ready: true, ...addresses})}\n`);
	const stop = () => {
		void standIn.stop();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}

/** Ends this process at once, as a crash does. */
export function crashProcess(): void {
	process.kill(process.pid, 'SIGKILL');
}
