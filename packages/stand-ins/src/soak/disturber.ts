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
const lossProbability = 0.5;

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
		const {type, target, durationMs} = disturbance;
		const types = schedule.DisturbanceType;
		switch (type) {
			case types.KillEngine: {
				const engine = this.local.engines[target]!;
				await this.#kill(engine.child, durationMs);
				return this.local.restartEngine(engine);
			}

			case types.KillRunner: {
				const runner = this.local.runners[target]!;
				await this.#kill(runner.child, durationMs);
				return this.local.restartRunner(runner);
			}

			case types.FreezeEngine: {
				return this.#fault(this.local.engines[target]!, {fault: fault.FaultName.Freeze}, durationMs);
			}

			case types.SilenceEngine: {
				return this.local.fault(this.local.engines[target]!, {fault: fault.FaultName.Silent});
			}

			case types.RefuseEngine: {
				return this.#fault(this.local.engines[target]!, {fault: fault.FaultName.Refuse}, durationMs);
			}

			case types.DropCacheEvents: {
				return this.#fault(this.local.engines[target]!, {fault: fault.FaultName.DropEvents}, durationMs);
			}

			case types.LeaveEngine: {
				return this.#leave(this.local.engines[target]!, durationMs);
			}

			case types.LeaveRunner: {
				return this.#leave(this.local.runners[target]!, durationMs);
			}

			case types.FreezeRunner: {
				return this.#fault(this.local.runners[target]!, {fault: fault.FaultName.Freeze}, durationMs);
			}

			case types.SilenceRunner: {
				return this.local.fault(this.local.runners[target]!, {fault: fault.FaultName.Silent});
			}

			case types.LoseRunnerAnswers: {
				return this.#fault(this.local.runners[target]!, {fault: fault.FaultName.LoseAnswers, probability: lossProbability}, durationMs);
			}

			case types.KvOutage: {
				return this.#fault(this.local.kv, {fault: fault.FaultName.Outage}, durationMs);
			}

			case types.KvSlow: {
				return this.#fault(this.local.kv, {fault: fault.FaultName.Delay, ms: slowMs}, durationMs);
			}

			case types.KvLoseAnswers: {
				return this.#fault(this.local.kv, {fault: fault.FaultName.LoseAnswers, probability: lossProbability}, durationMs);
			}

			case types.SilenceKv: {
				return this.local.fault(this.local.kv, {fault: fault.FaultName.Silent});
			}

			case types.PauseRouter: {
				return this.#pauseRouter(this.local.routers[target]!, durationMs);
			}

			case types.StopRouter: {
				return this.#stopRouter(this.local.routers[target]!, durationMs);
			}

			case types.KillRouter:
			case types.KillHerd: {
				const routers = schedule.routersOf(disturbance, this.local.routers.length).map(index => this.local.routers[index]!);
				await Promise.all(routers.map(async router => this.#killRouter(router, durationMs)));
			}
		}
	}

	async #kill(child: util.Child, durationMs: number): Promise<void> {
		child.kill();
		await child.exited;
		await util.sleep(durationMs);
	}

	async #fault(standIn: deployment.RunningStandIn, request: fault.FaultRequest, durationMs: number): Promise<void> {
		await this.local.fault(standIn, request);
		await util.sleep(durationMs);
		await this.local.fault(standIn, {fault: fault.FaultName.Clear});
	}

	async #leave(standIn: deployment.RunningStandIn, durationMs: number): Promise<void> {
		const from = Date.now();
		await this.#fault(standIn, {fault: fault.FaultName.Leave}, durationMs);
		this.leaves.push({endpoint: standIn.name, from, to: from + durationMs});
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
		if (!router.child.running) {
			this.findings.push(`${router.vm} had ended by itself with code ${await router.child.exited}`);
		}
	}
}

/** Describes a disturbance in one line. */
export function describe(disturbance: schedule.Disturbance): string {
	return `at ${disturbance.atMs} ms: ${disturbance.type} ${disturbance.target} for ${disturbance.durationMs} ms`;
}
