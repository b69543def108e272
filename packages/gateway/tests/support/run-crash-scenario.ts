import * as simulatedCrashes from './simulated-crashes.js';
import * as virtualTime from './virtual-time.js';

/** Users' rule: requests with the crashing part that are sent this long after the fifth end count. */
export const settleWindowMs = 3000;
const maxEndsBefore = 5;
const durationMs = 10_000;

/** What a run showed, in the users' terms. */
export type CrashResult = simulatedCrashes.CrashOutcome & {
	/** Time from which the users' rule counts requests with the part. */
	readonly countedFrom: number;
	readonly sentAfter: number;
	/** Number of VMs that refuse the part at the end. */
	readonly refusingVms: number;
	readonly wrongParts: readonly string[];
};

/** Runs a scenario of ten seconds. */
export async function runCrashScenario(scenario: Partial<simulatedCrashes.CrashScenario>): Promise<CrashResult> {
	const time = new virtualTime.VirtualTime();
	const crashes = new simulatedCrashes.SimulatedCrashes({
		vmCount: 7, endpointCount: 12, crashingPerSecond: 10, soundPerSecond: 150, areCrashingEqual: false,
		killedShare: 0, killedAgainAfterMs: 0, lossPercent: 1, isQuarantined: true, seed: 1, ...scenario,
	}, time);
	crashes.start(durationMs);
	await time.runUntil(durationMs);
	const {outcome} = crashes;
	const countedFrom = (outcome.ends[maxEndsBefore - 1] ?? outcome.ends.at(-1) ?? Infinity) + settleWindowMs;
	return {
		...outcome,
		countedFrom,
		sentAfter: outcome.crashingSends.filter(at => at > countedFrom).length,
		refusingVms: crashes.countRefusingVms(),
		wrongParts: crashes.listWrongParts(),
	};
}
