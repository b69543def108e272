import * as check from '../check/index.js';
import * as deployment from '../deployment/index.js';
import * as load from '../load/index.js';
import * as util from '../util/index.js';
import * as formatResult from './format-result.js';

/** Options of the demo. */
export type DemoOptions = {
	readonly folder: string;
	readonly seed: number;
	/** Milliseconds over which requests arrive. */
	readonly durationMs: number;
	/** Prints one line. */
	readonly print: (line: string) => void;
};

const requestsPerSecond = 20;
/** Share of requests that have to be answered although an engine is killed. */
const minAnsweredShare = 0.95;

/** Runs the demo and returns the findings; none means that all adds up. */
export async function runDemo(options: DemoOptions): Promise<string[]> {
	const {folder, seed, durationMs, print} = options;
	const local = new deployment.LocalDeployment({folder, seed});
	try {
		await local.start();
		print(`started ${local.routers.length} routers, ${local.engines.length} engines, ${local.runners.length} booking runners`);
		const running = load.runLoad({
			targets: local.routerUrls,
			accounts: local.accounts,
			model: deployment.modelName,
			bookingService: deployment.bookingServiceName,
			seed,
			durationMs,
			requestsPerSecond,
		});
		const [result, findings] = await Promise.all([running, injectFaults(local, durationMs, print)]);
		for (const line of formatResult.formatResult(result)) {
			print(line);
		}

		print(`calls of the key-value service: ${JSON.stringify(await local.kvCounts())}`);
		return [
			...findings,
			...check.checkCounts('questions', result.questions),
			...check.checkCounts('bookings', result.bookings),
			...check.checkAvailability(result, minAnsweredShare),
			...check.checkNoneIncomplete('questions', result.questions),
			...check.checkNoneIncomplete('bookings', result.bookings),
			...check.checkBookings(result.bookingRecords, local.executions()),
			...check.checkEngines(local.engineRecords()),
		];
	} finally {
		await local.stop();
	}
}

/** Kills one engine and restarts it empty, and stops and starts one router, while requests arrive. */
async function injectFaults(
	local: deployment.LocalDeployment,
	durationMs: number,
	print: (line: string) => void,
): Promise<string[]> {
	await util.sleep(durationMs / 4);
	const engine = local.engines[1]!;
	print(`killing ${engine.name}`);
	engine.child.kill();
	await engine.child.exited;
	await util.sleep(durationMs / 8);
	print(`starting ${engine.name} again, empty`);
	await local.restartEngine(engine);
	await util.sleep(durationMs / 8);
	const router = local.routers[2]!;
	print(`stopping ${router.vm}`);
	router.child.terminate();
	const code = await router.child.exited;
	print(`${router.vm} ended with code ${code}; starting it again`);
	await local.restartRouter(router);
	print(`${router.vm} is ready`);
	return code === 0 ? [] : [`${router.vm} ended with code ${code} at a planned stop`];
}
