import process from 'node:process';
import type * as standInServer from '../fault/stand-in-server.js';

/** Runs a stand-in in this process: prints its ports as one JSON line when ready, and stops it on SIGTERM or SIGINT. */
export async function runStandIn(standIn: standInServer.StandIn): Promise<void> {
	const addresses = await standIn.start();
	process.stdout.write(`${JSON.stringify({ready: true, ...addresses})}\n`);
	const stop = () => {
		void standIn.stop();
	};

	process.once('SIGTERM', stop);
	process.once('SIGINT', stop);
}

/** Kills this process with SIGKILL to simulate a crash. */
export function crashProcess(): void {
	process.kill(process.pid, 'SIGKILL');
}
