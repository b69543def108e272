import * as check from '../check/index.js';
import * as deployment from '../deployment/index.js';
import * as load from '../load/index.js';
import * as util from '../util/index.js';
import * as formatResult from './format-result.js';

/** Options of the demo. */
export type DemoOptions = {
	readonly folder: string;
	readonly seed: number;
	/** Period in which requests arrive, in milliseconds. */
	readonly durationMs: number;
	/** Prints one line. */
	readonly print: (line: string) => void;
};

const requestsPerSecond = 20;
/** Share of requests that have to be answered in spite of the killed engine. */
const minAnsweredShare = 0.95;

/** Runs the demo and returns the findings; there are none when every request is accounted for. */
export async function runDemo(options: DemoOptions): Promise<string[]> {
	const {folder, seed, durationMs, print} = options;
	const localDeployment = new deployment.LocalDeployment({folder, seed});
	try {
		await localDeployment.start();
		print(`started ${localDeployment.routers.length} routers, ${localDeployment.engines.length} engines, ${localDeployment.runners.length} booking runners`);
		const running = load.runLoad({
			targets: localDeployment.routerUrls,
			accounts: localDeployment.accounts,
			model: deployment.modelName,
			bookingService: deployment.bookingServiceName,
			seed,
			durationMs,
			requestsPerSecond,
		});
		const [result, findings] = await Promise.all([running, injectFaults(localDeployment, durationMs, print)]);
		for (const line of formatResult.formatResult(result)) {
			print(line);
		}

		print(`calls of the key-value service: ${JSON.stringify(await localDeployment.kvCounts())}`);
		return [
			...findings,
			...check.checkCounts('questions', result.questions),
			...check.checkCounts('bookings', result.bookings),
			...check.checkAvailability(result, minAnsweredShare),
			...check.checkNoneIncomplete('questions', result.questions),
			...check.checkNoneIncomplete('bookings', result.bookings),
			...check.checkBookings(result.bookingRecords, localDeployment.executions()),
			...check.checkEngines(localDeployment.engineRecords()),
		];
	} finally {
		await localDeployment.stop();
	}
}

/** Kills one engine and restarts it with an empty cache, then shuts down and restarts one router, while requests arrive. */
async function injectFaults(
	localDeployment: deployment.LocalDeployment,
	durationMs: number,
	print: (line: string) => void,
): Promise<string[]> {
	await util.sleep(durationMs / 4);
	const engine = localDeployment.engines[1]!;
	print(`killing ${engine.name}`);
	engine.child.kill();
	await engine.child.exited;
	await util.sleep(durationMs / 8);
	print(`restarting ${engine.name} with an empty cache`);
	await localDeployment.restartEngine(engine);
	await util.sleep(durationMs / 8);
	const router = localDeployment.routers[2]!;
	print(`stopping ${router.vm}`);
	router.child.terminate();
	const code = await router.child.exited;
	print(`${router.vm} exited with code ${code}; restarting it`);
	await localDeployment.restartRouter(router);
	print(`${router.vm} is ready`);
	return code === 0 ? [] : [`${router.vm} exited with code ${code} at a graceful shutdown`];
}
