import type * as check from '../check/index.js';
import type * as deployment from '../deployment/index.js';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';
import * as faultSchedule from './fault-schedule.js';
import * as playSchedule from './play-schedule.js';

/** A period in which a router was killed or paused. */
export type RouterOutage = {
	readonly target: string;
	/** Milliseconds since the Unix epoch. */
	readonly from: number;
	readonly to: number;
};

/** Delay of responses of the key-value service, in milliseconds. */
const kvDelayMs = 400;
/** Longer than the timeout of the routers' calls to the key-value service, in milliseconds. */
const kvLateWriteMs = 1500;
const responseLossProbability = 0.5;

/** Faults that are applied through the fault port of a stand-in and cleared after the duration; other types act on processes. */
const standInFaultsByType: Readonly<Partial<Record<faultSchedule.ScheduledFaultType, fault.FaultRequest>>> = {
	[faultSchedule.ScheduledFaultType.FreezeEngine]: {fault: fault.FaultName.Freeze},
	[faultSchedule.ScheduledFaultType.SilenceEngine]: {fault: fault.FaultName.Silent},
	[faultSchedule.ScheduledFaultType.RefuseEngine]: {fault: fault.FaultName.Refuse},
	[faultSchedule.ScheduledFaultType.DropCacheEvents]: {fault: fault.FaultName.DropEvents},
	[faultSchedule.ScheduledFaultType.LeaveEngine]: {fault: fault.FaultName.Leave},
	[faultSchedule.ScheduledFaultType.FreezeRunner]: {fault: fault.FaultName.Freeze},
	[faultSchedule.ScheduledFaultType.SilenceRunner]: {fault: fault.FaultName.Silent},
	[faultSchedule.ScheduledFaultType.LoseRunnerResponses]: {fault: fault.FaultName.LoseResponses, probability: responseLossProbability},
	[faultSchedule.ScheduledFaultType.LeaveRunner]: {fault: fault.FaultName.Leave},
	[faultSchedule.ScheduledFaultType.KvOutage]: {fault: fault.FaultName.Outage},
	[faultSchedule.ScheduledFaultType.KvSlow]: {fault: fault.FaultName.Delay, ms: kvDelayMs},
	[faultSchedule.ScheduledFaultType.KvLoseResponses]: {fault: fault.FaultName.LoseResponses, probability: responseLossProbability},
	[faultSchedule.ScheduledFaultType.KvLateWrites]: {fault: fault.FaultName.LateWrites, ms: kvLateWriteMs},
	[faultSchedule.ScheduledFaultType.SilenceKv]: {fault: fault.FaultName.Silent},
};

/** Injects the faults of a schedule into a local deployment, and records outages and findings. */
export class FaultInjector {
	readonly outages: RouterOutage[] = [];
	readonly leavePeriods: check.LeavePeriod[] = [];
	readonly findings: string[] = [];

	constructor(private readonly deployment: deployment.LocalDeployment, private readonly print: (line: string) => void) {}

	/** Injects all faults at their times; a fault waits until earlier faults of the same targets have ended. */
	async run(faults: readonly faultSchedule.ScheduledFault[]): Promise<void> {
		await playSchedule.playSchedule(
			faults,
			scheduledFault => faultSchedule.listTargetNames(scheduledFault, this.deployment.routers.length),
			async scheduledFault => {
				this.print(formatScheduledFault(scheduledFault));
				await this.#inject(scheduledFault);
			},
		);
	}

	async #inject(scheduledFault: faultSchedule.ScheduledFault): Promise<void> {
		const request = standInFaultsByType[scheduledFault.type];
		if (request) {
			await this.#applyFault(this.#findStandIn(scheduledFault), request, scheduledFault.durationMs);
			return;
		}

		await this.#injectIntoProcess(scheduledFault);
	}

	async #injectIntoProcess(scheduledFault: faultSchedule.ScheduledFault): Promise<void> {
		const {type, targetIndex: target, durationMs} = scheduledFault;
		const {engines, runners, routers} = this.deployment;
		const actions: Partial<Record<faultSchedule.ScheduledFaultType, () => Promise<void>>> = {
			[faultSchedule.ScheduledFaultType.KillEngine]: async () => this.#killEngine(engines[target]!, durationMs),
			[faultSchedule.ScheduledFaultType.KillRunner]: async () => this.#killRunner(runners[target]!, durationMs),
			[faultSchedule.ScheduledFaultType.PauseRouter]: async () => this.#pauseRouter(routers[target]!, durationMs),
			[faultSchedule.ScheduledFaultType.StopRouter]: async () => this.#stopRouter(routers[target]!, durationMs),
			[faultSchedule.ScheduledFaultType.KillRouter]: async () => this.#killRouter(routers[target]!, durationMs),
			[faultSchedule.ScheduledFaultType.KillHalfOfRouters]: async () => this.#killRouters(scheduledFault),
		};
		await actions[type]!();
	}

	#findStandIn(scheduledFault: faultSchedule.ScheduledFault): deployment.RunningStandIn {
		const {engines, runners, kv} = this.deployment;
		const candidates = {
			[faultSchedule.TargetKind.Engine]: engines[scheduledFault.targetIndex],
			[faultSchedule.TargetKind.Runner]: runners[scheduledFault.targetIndex],
			[faultSchedule.TargetKind.Kv]: kv,
			[faultSchedule.TargetKind.Router]: undefined,
		};
		return candidates[faultSchedule.targetKindByType[scheduledFault.type]]!;
	}

	async #killEngine(engine: deployment.RunningStandIn, durationMs: number): Promise<void> {
		await this.#killAndWait(engine.child, durationMs);
		await this.deployment.restartEngine(engine);
	}

	async #killRunner(runner: deployment.RunningStandIn, durationMs: number): Promise<void> {
		await this.#killAndWait(runner.child, durationMs);
		await this.deployment.restartRunner(runner);
	}

	async #killRouters(scheduledFault: faultSchedule.ScheduledFault): Promise<void> {
		const indices = faultSchedule.listRouterIndices(scheduledFault, this.deployment.routers.length);
		await Promise.all(indices.map(async index => this.#killRouter(this.deployment.routers[index]!, scheduledFault.durationMs)));
	}

	async #killAndWait(child: util.ChildProcess, durationMs: number): Promise<void> {
		child.kill();
		await child.exited;
		await util.sleep(durationMs);
	}

	async #applyFault(standIn: deployment.RunningStandIn, request: fault.FaultRequest, durationMs: number): Promise<void> {
		const from = Date.now();
		await this.deployment.applyFault(standIn, request);
		await util.sleep(durationMs);
		await this.deployment.applyFault(standIn, {fault: fault.FaultName.Clear});
		if (request.fault === fault.FaultName.Leave) {
			this.leavePeriods.push({endpoint: standIn.name, from, to: from + durationMs});
		}
	}

	async #killRouter(router: deployment.RunningRouter, durationMs: number): Promise<void> {
		const from = Date.now();
		await this.#checkIsRunning(router);
		await this.#killAndWait(router.child, durationMs);
		await this.#restart(router);
		this.outages.push({target: router.url, from, to: Date.now()});
	}

	async #pauseRouter(router: deployment.RunningRouter, durationMs: number): Promise<void> {
		const from = Date.now();
		await this.#checkIsRunning(router);
		router.child.pause();
		await util.sleep(durationMs);
		router.child.resume();
		this.outages.push({target: router.url, from, to: Date.now()});
	}

	async #stopRouter(router: deployment.RunningRouter, durationMs: number): Promise<void> {
		router.child.terminate();
		const code = await router.child.exited;
		if (code !== 0) {
			this.findings.push(`${router.vm} exited with code ${code} at a graceful shutdown`);
		}

		await util.sleep(durationMs);
		await this.#restart(router);
	}

	async #restart(router: deployment.RunningRouter): Promise<void> {
		try {
			await this.deployment.restartRouter(router);
		} catch (err) {
			this.findings.push(String(err));
		}
	}

	async #checkIsRunning(router: deployment.RunningRouter): Promise<void> {
		if (!router.child.isRunning) {
			this.findings.push(`${router.vm} had exited by itself with code ${await router.child.exited}`);
		}
	}
}

/** Formats a scheduled fault as one line. */
export function formatScheduledFault(scheduledFault: faultSchedule.ScheduledFault): string {
	return `at ${scheduledFault.atMs} ms: ${scheduledFault.type} ${scheduledFault.targetIndex} for ${scheduledFault.durationMs} ms`;
}
