import type * as check from '../check/index.js';
import type * as deployment from '../deployment/index.js';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';
import * as schedule from './schedule.js';

/** A time over which a router was not there for its callers. */
export type RouterOutage = {
	readonly target: string;
	/** Milliseconds since the Unix epoch. */
	readonly from: number;
	readonly to: number;
};

const slowMs = 400;
/** Longer than the routers wait for an answer of the key-value service. */
const lateWriteMs = 1500;
const lossProbability = 0.5;

/** Faults that are set on a stand-in's fault port and cleared at the end of the disturbance. */
const faultsByType: Readonly<Partial<Record<schedule.DisturbanceType, fault.FaultRequest>>> = {
	[schedule.DisturbanceType.FreezeEngine]: {fault: fault.FaultName.Freeze},
	[schedule.DisturbanceType.SilenceEngine]: {fault: fault.FaultName.Silent},
	[schedule.DisturbanceType.RefuseEngine]: {fault: fault.FaultName.Refuse},
	[schedule.DisturbanceType.DropCacheEvents]: {fault: fault.FaultName.DropEvents},
	[schedule.DisturbanceType.LeaveEngine]: {fault: fault.FaultName.Leave},
	[schedule.DisturbanceType.FreezeRunner]: {fault: fault.FaultName.Freeze},
	[schedule.DisturbanceType.SilenceRunner]: {fault: fault.FaultName.Silent},
	[schedule.DisturbanceType.LoseRunnerAnswers]: {fault: fault.FaultName.LoseAnswers, probability: lossProbability},
	[schedule.DisturbanceType.LeaveRunner]: {fault: fault.FaultName.Leave},
	[schedule.DisturbanceType.KvOutage]: {fault: fault.FaultName.Outage},
	[schedule.DisturbanceType.KvSlow]: {fault: fault.FaultName.Delay, ms: slowMs},
	[schedule.DisturbanceType.KvLoseAnswers]: {fault: fault.FaultName.LoseAnswers, probability: lossProbability},
	[schedule.DisturbanceType.KvLateWrites]: {fault: fault.FaultName.LateWrites, ms: lateWriteMs},
	[schedule.DisturbanceType.SilenceKv]: {fault: fault.FaultName.Silent},
};

/** Carries out the disturbances of a schedule. */
export class Disturber {
	readonly outages: RouterOutage[] = [];
	readonly leaves: check.LeaveRecord[] = [];
	readonly findings: string[] = [];

	constructor(private readonly local: deployment.LocalDeployment, private readonly print: (line: string) => void) {}

	/** Runs all disturbances at their times; one waits while another still acts on the same thing. */
	async run(disturbances: readonly schedule.Disturbance[]): Promise<void> {
		const last = new Map<string, Promise<void>>();
		const running = disturbances.map(async disturbance => {
			await util.sleep(disturbance.atMs);
			const names = schedule.subjectsOf(disturbance, this.local.routers.length);
			const current = this.#carryOutAfter(names.map(async name => last.get(name)), disturbance);
			for (const name of names) {
				last.set(name, current);
			}

			await current;
		});
		await Promise.all(running);
	}

	async #carryOutAfter(earlier: ReadonlyArray<Promise<void>>, disturbance: schedule.Disturbance): Promise<void> {
		await Promise.all(earlier);
		this.print(describe(disturbance));
		await this.#carryOut(disturbance);
	}

	async #carryOut(disturbance: schedule.Disturbance): Promise<void> {
		const request = faultsByType[disturbance.type];
		if (request) {
			await this.#fault(this.#standInOf(disturbance), request, disturbance.durationMs);
			return;
		}

		await this.#carryOutOnProcess(disturbance);
	}

	async #carryOutOnProcess(disturbance: schedule.Disturbance): Promise<void> {
		const {type, target, durationMs} = disturbance;
		const {engines, runners, routers} = this.local;
		const actions: Partial<Record<schedule.DisturbanceType, () => Promise<void>>> = {
			[schedule.DisturbanceType.KillEngine]: async () => this.#killEngine(engines[target]!, durationMs),
			[schedule.DisturbanceType.KillRunner]: async () => this.#killRunner(runners[target]!, durationMs),
			[schedule.DisturbanceType.PauseRouter]: async () => this.#pauseRouter(routers[target]!, durationMs),
			[schedule.DisturbanceType.StopRouter]: async () => this.#stopRouter(routers[target]!, durationMs),
			[schedule.DisturbanceType.KillRouter]: async () => this.#killRouter(routers[target]!, durationMs),
			[schedule.DisturbanceType.KillHerd]: async () => this.#killHerd(disturbance),
		};
		await actions[type]!();
	}

	#standInOf(disturbance: schedule.Disturbance): deployment.RunningStandIn {
		const {engines, runners, kv} = this.local;
		const candidates = {
			[schedule.Subject.Engine]: engines[disturbance.target],
			[schedule.Subject.Runner]: runners[disturbance.target],
			[schedule.Subject.Kv]: kv,
			[schedule.Subject.Router]: undefined,
		};
		return candidates[schedule.subjectByType[disturbance.type]]!;
	}

	async #killEngine(engine: deployment.RunningStandIn, durationMs: number): Promise<void> {
		await this.#kill(engine.child, durationMs);
		await this.local.restartEngine(engine);
	}

	async #killRunner(runner: deployment.RunningStandIn, durationMs: number): Promise<void> {
		await this.#kill(runner.child, durationMs);
		await this.local.restartRunner(runner);
	}

	async #killHerd(disturbance: schedule.Disturbance): Promise<void> {
		const indices = schedule.routersOf(disturbance, this.local.routers.length);
		await Promise.all(indices.map(async index => this.#killRouter(this.local.routers[index]!, disturbance.durationMs)));
	}

	async #kill(child: util.ChildProcess, durationMs: number): Promise<void> {
		child.kill();
		await child.exited;
		await util.sleep(durationMs);
	}

	async #fault(standIn: deployment.RunningStandIn, request: fault.FaultRequest, durationMs: number): Promise<void> {
		const from = Date.now();
		await this.local.applyFault(standIn, request);
		await util.sleep(durationMs);
		await this.local.applyFault(standIn, {fault: fault.FaultName.Clear});
		if (request.fault === fault.FaultName.Leave) {
			this.leaves.push({endpoint: standIn.name, from, to: from + durationMs});
		}
	}

	async #killRouter(router: deployment.RunningRouter, durationMs: number): Promise<void> {
		const from = Date.now();
		await this.#noteUnexpectedEnd(router);
		await this.#kill(router.child, durationMs);
		await this.#restart(router);
		this.outages.push({target: router.url, from, to: Date.now()});
	}

	async #pauseRouter(router: deployment.RunningRouter, durationMs: number): Promise<void> {
		const from = Date.now();
		await this.#noteUnexpectedEnd(router);
		router.child.pause();
		await util.sleep(durationMs);
		router.child.resume();
		this.outages.push({target: router.url, from, to: Date.now()});
	}

	async #stopRouter(router: deployment.RunningRouter, durationMs: number): Promise<void> {
		router.child.terminate();
		const code = await router.child.exited;
		if (code !== 0) {
			this.findings.push(`${router.vm} ended with code ${code} at a planned stop`);
		}

		await util.sleep(durationMs);
		await this.#restart(router);
	}

	async #restart(router: deployment.RunningRouter): Promise<void> {
		try {
			await this.local.restartRouter(router);
		} catch (err) {
			this.findings.push(String(err));
		}
	}

	async #noteUnexpectedEnd(router: deployment.RunningRouter): Promise<void> {
		if (!router.child.isRunning) {
			this.findings.push(`${router.vm} had ended by itself with code ${await router.child.exited}`);
		}
	}
}

/** Describes a disturbance in one line. */
export function describe(disturbance: schedule.Disturbance): string {
	return `at ${disturbance.atMs} ms: ${disturbance.type} ${disturbance.target} for ${disturbance.durationMs} ms`;
}
