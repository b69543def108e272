import * as check from '../check/index.js';
import * as deployment from '../deployment/index.js';
import * as load from '../load/index.js';
import * as formatResult from '../demo/format-result.js';
import * as faultInjector from './fault-injector.js';
import * as lostCheck from './lost-check.js';
import * as operatorModule from './operator.js';
import * as faultSchedule from './fault-schedule.js';

/** Options of a soak run. */
export type SoakOptions = {
	readonly folder: string;
	readonly seed: number;
	readonly durationMs: number;
	/** Whether engines hold no weights after a restart. */
	readonly emptyEngines: boolean;
	/** Prints one line. */
	readonly print: (line: string) => void;
};

const sizes = {routers: 6, engines: 4, runners: 3};
const versions = ['1', '2'];
const requestsPerSecond = 25;
const bookingRepeats = 3;
/** Share of requests that have to be answered in spite of the faults. */
const minAnsweredShare = 0.3;

/** Runs a local deployment under load and scheduled faults; returns the findings. */
export async function runSoak(options: SoakOptions): Promise<string[]> {
	const {folder, seed, durationMs, print} = options;
	const scheduledFaults = faultSchedule.createFaultSchedule({seed, durationMs, ...sizes});
	const localDeployment = new deployment.LocalDeployment({
		folder, seed, ...sizes, initialVersions: versions, restartVersions: options.emptyEngines ? [] : versions,
	});
	try {
		await localDeployment.start();
		const injector = new faultInjector.FaultInjector(localDeployment, print);
		const operator = new operatorModule.Operator(localDeployment, print);
		const [result] = await Promise.all([
			load.runLoad({
				targets: localDeployment.routerUrls,
				accounts: localDeployment.accounts,
				model: deployment.modelName,
				bookingService: deployment.bookingServiceName,
				seed,
				durationMs,
				requestsPerSecond,
				bookingShare: 0.4,
				bookingRepeats,
			}),
			injector.run(scheduledFaults),
			operator.run(durationMs),
		]);
		for (const line of formatResult.formatResult(result)) {
			print(line);
		}

		print(`calls of the key-value service: ${JSON.stringify(await localDeployment.kvCounts())}`);
		return [
			...injector.findings,
			...check.checkCounts('questions', result.questions),
			...check.checkCounts('bookings', result.bookings),
			...check.checkAvailability(result, minAnsweredShare),
			...check.checkBookings(result.bookingRecords, localDeployment.executions()),
			...check.checkEngines(localDeployment.engineRecords(), operator.recalls),
			...check.checkLeaving(localDeployment.arrivals(), injector.leavePeriods),
			...lostCheck.checkLostCalls(result.lost, injector.outages),
			...localDeployment.findBrokenInvariants(),
			...localDeployment.findExitedRouters(),
		];
	} finally {
		await localDeployment.stop();
	}
}
