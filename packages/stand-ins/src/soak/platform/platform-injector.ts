import * as check from '../../check/index.js';
import * as fault from '../../fault/index.js';
import * as usersPlatform from '../../users-platform/index.js';
import * as util from '../../util/index.js';
import * as playSchedule from '../play-schedule.js';
import type * as gatewayProcess from './gateway-process.js';
import type * as platformClients from './platform-clients.js';
import * as blocks from './blocks.js';
import * as operatorChanges from './operator-changes.js';
import * as platformAction from './platform-action.js';
import type * as platformPlan from './platform-plan.js';
import type * as platformSystem from './platform-system.js';
import type * as serverFleet from './server-fleet.js';
import * as signalSeries from './signal-series.js';
import * as silences from './silences.js';
import * as timedFaults from './timed-faults.js';

/** Dependencies of an injector. */
export type PlatformInjectorOptions = {
	readonly system: platformSystem.PlatformSystem;
	readonly clients: platformClients.PlatformClients;
	readonly plan: platformPlan.PlatformPlan;
	readonly bounds: check.platform.Bounds;
	readonly print: (line: string) => void;
};

type Mutable<Value> = {-readonly [Key in keyof Value]: Value[Key]};

const {ActionType: types} = platformAction;
const {DisruptionTarget: targets} = check.platform;
/** Share of the requests to engines with the part on which they end. */
const crashingShare = 0.1;
const leaderPollMs = 100;
/** Milliseconds for which a leaving server goes on serving after the bound. */
const leaveMarginMs = 1500;
/** Milliseconds between the end and the start of a gateway that is stopped in turn, and until the next one is stopped. */
const restartMs = 300;
const turnMs = 500;
const storeDelayMs = 250;
const millisecondsPerAmount = 100;
const millisecondsPerSecond = 1000;
const slowMsPerAmount = 700;
const unavailableStatus = 503;
const limitedStatus = 429;
const changedSettings = 'bounds.grace_s=5\nregion=region-b\n';
const brokenSettings = 'bounds.grace_s=soon\nnode_name\n';
/** Milliseconds after its last sign of life at which the platform removes the entry of a crashed server. */
const entryLifeMs = 3600;

/** Plays the actions of a plan and records disruptions. */
export class PlatformInjector {
	readonly disruptions: check.platform.Disruption[] = [];
	readonly leavingPeriods: check.platform.LeavingPeriod[] = [];
	readonly plannedStops: check.platform.PlannedStop[] = [];
	readonly reloads: check.platform.Reload[] = [];
	readonly silences: check.platform.Silence[] = [];
	readonly blocks: check.platform.Block[] = [];
	readonly #startedAt = Date.now();
	#replacements = 0;

	constructor(private readonly options: PlatformInjectorOptions) {}

	/** Plays all actions. */
	async run(): Promise<void> {
		const {plan, print} = this.options;
		await playSchedule.playSchedule(
			plan.actions,
			action => platformAction.listTargets(action, plan.sizes),
			async action => {
				print(`${Date.now() - this.#startedAt} ms: ${platformAction.formatAction(action)}`);
				await this.#play(action);
			},
		);
	}

	async #play(action: platformAction.PlannedAction): Promise<void> {
		const {system, clients, plan} = this.options;
		switch (platformAction.targetByType[action.type]) {
			case platformAction.ActionTarget.Gateway:
			case platformAction.ActionTarget.AllGateways: {
				await this.#playOnGateways(action);
				break;
			}

			case platformAction.ActionTarget.Store: {
				await this.#playOnStore(action);
				break;
			}

			case platformAction.ActionTarget.Server: {
				await this.#playOnServer(action);
				break;
			}

			case platformAction.ActionTarget.AllServers: {
				await this.#sendCrashingPrompts(action.durationMs);
				break;
			}

			case platformAction.ActionTarget.Silence: {
				await silences.playSilences(action, plan.sizes, system.fleet, this.silences);
				break;
			}

			case platformAction.ActionTarget.Block: {
				await blocks.playBlocks(action, plan.sizes, system.gateways, this.blocks);
				break;
			}

			case platformAction.ActionTarget.Nothing: {
				await operatorChanges.playChange(action, system.operator, clients);
				break;
			}
		}
	}

	async #playOnGateways(action: platformAction.PlannedAction): Promise<void> {
		const {gateways} = this.options.system;
		const gateway = gateways[action.targetIndex]!;
		const {durationMs} = action;
		const actions: Partial<Record<platformAction.ActionType, () => Promise<unknown>>> = {
			[types.StopGateway]: async () => this.#stopGateway(gateway, durationMs),
			[types.KillGateway]: async () => this.#killGateway(gateway, durationMs),
			[types.SignalSeries]: async () => this.#playSignals(gateway, action),
			[types.SuspendGateway]: async () => this.#suspendGateway(gateway, durationMs),
			[types.ChangeSettings]: async () => this.#reloadGateway(gateway, changedSettings, durationMs),
			[types.BreakSettings]: async () => this.#reloadGateway(gateway, brokenSettings, durationMs),
			[types.StopInTurn]: async () => this.#stopInTurn(),
			[types.StopAll]: async () => Promise.all(gateways.map(async each => this.#stopGateway(each, durationMs))),
			[types.KillAll]: async () => Promise.all(gateways.map(async each => this.#killGateway(each, durationMs))),
			[types.SuspendAll]: async () => Promise.all(gateways.map(async each => this.#suspendGateway(each, durationMs))),
			[types.SuspendLeader]: async () => this.#suspendLeader(action),
			[types.SuspendLeaders]: async () => this.#suspendLeaders(action),
		};
		await actions[action.type]!();
	}

	async #stopGateway(gateway: gatewayProcess.GatewayProcess, durationMs: number): Promise<void> {
		await this.#disrupt(targets.Gateway, gateway.name, true, async () => {
			signalSeries.terminate(gateway, this.plannedStops);
			const killTimer = setTimeout(() => {
				gateway.signal('kill');
			}, this.options.bounds.graceMs);
			await gateway.waitForExit();
			clearTimeout(killTimer);
			await util.sleep(durationMs);
			gateway.start();
		});
	}

	async #killGateway(gateway: gatewayProcess.GatewayProcess, durationMs: number): Promise<void> {
		await this.#disrupt(targets.Gateway, gateway.name, false, async () => {
			gateway.signal('kill');
			await gateway.waitForExit();
			await util.sleep(durationMs);
			gateway.start();
		});
	}

	async #playSignals(gateway: gatewayProcess.GatewayProcess, {amount, durationMs}: platformAction.PlannedAction): Promise<void> {
		const {bounds: {graceMs}} = this.options;
		let kill: Mutable<check.platform.Disruption> | undefined;
		await this.#disrupt(targets.Gateway, gateway.name, true, async () => signalSeries.playSeries(gateway, {number: amount, stepMs: durationMs, graceMs}, {
			plannedStops: this.plannedStops,
			reloads: this.reloads,
			onKill: () => {
				kill ??= this.#beginDisruption(targets.Gateway, gateway.name, false);
			},
		}));
		if (kill !== undefined) {
			kill.to = Date.now();
		}
	}

	async #suspendGateway(gateway: gatewayProcess.GatewayProcess, durationMs: number): Promise<void> {
		await this.#disrupt(targets.Gateway, gateway.name, false, async () => {
			gateway.signal('pause');
			await util.sleep(durationMs);
			gateway.signal('resume');
		});
	}

	/** Changes the settings of a gateway for a time, and announces both changes to its process. */
	async #reloadGateway(gateway: gatewayProcess.GatewayProcess, furtherLines: string, durationMs: number): Promise<void> {
		for (const lines of [furtherLines, '']) {
			gateway.writeSettings(lines);
			this.reloads.push({gateway: gateway.name, at: Date.now()});
			gateway.signal('reload');
			await util.sleep(durationMs); // eslint-disable-line no-await-in-loop -- In turn.
		}
	}

	async #stopInTurn(): Promise<void> {
		for (const gateway of this.options.system.gateways) {
			await this.#stopGateway(gateway, restartMs); // eslint-disable-line no-await-in-loop -- In turn.
			await util.sleep(turnMs); // eslint-disable-line no-await-in-loop -- In turn.
		}
	}

	async #suspendLeader(action: platformAction.PlannedAction): Promise<void> {
		const {system} = this.options;
		const leader = system.findLeader() ?? system.gateways[action.targetIndex]!;
		await Promise.all([this.#suspendGateway(leader, action.durationMs), operatorChanges.nameVersions(action, this.options.system.operator)]);
	}

	async #suspendLeaders(action: platformAction.PlannedAction): Promise<void> {
		const {gateways} = this.options.system;
		const endsAt = Date.now() + action.durationMs;
		const suspended = new Map<string, Promise<void>>();
		const naming = operatorChanges.nameVersions(action, this.options.system.operator);
		while (Date.now() < endsAt) {
			const leader = this.options.system.findLeader();
			if (leader !== undefined && !suspended.has(leader.name) && suspended.size < gateways.length - 1) {
				suspended.set(leader.name, this.#suspendGateway(leader, endsAt - Date.now()));
			}

			await util.sleep(leaderPollMs); // eslint-disable-line no-await-in-loop -- A poll.
		}

		await Promise.all([naming, ...suspended.values()]);
	}

	async #playOnStore(action: platformAction.PlannedAction): Promise<void> {
		const {system: {store, gateways}} = this.options;
		const {durationMs, targetIndex, amount} = action;
		const some = gateways.filter((_, index) => (index - targetIndex + gateways.length) % gateways.length < Math.min(amount, gateways.length - 1));
		const gateway = gateways[targetIndex]!;
		const actions: Partial<Record<platformAction.ActionType, () => Promise<unknown>>> = {
			[types.StoreDown]: async () => this.#faultStore({fault: fault.FaultName.Outage}, durationMs),
			[types.StoreLosesAnswers]: async () => this.#faultStore({fault: fault.FaultName.LoseResponses}, durationMs),
			[types.StoreDiscardsHistory]: async () => this.#disrupt(targets.Store, '', false, async () => {
				store.compactHistory();
			}),
			[types.StoreReturns]: async () => this.#disrupt(targets.Store, '', false, async () => this.#returnStore(durationMs, amount)),
			[types.StoreSlow]: async () => this.#disrupt(targets.Store, '', false, async () => this.#faultLinks(gateways, fault.LinkFault.Delay, durationMs, storeDelayMs)),
			[types.StoreUnavailableToSome]: async () => this.#refuseCalls(some, unavailableStatus, durationMs),
			[types.StoreLimitsSome]: async () => this.#refuseCalls(some, limitedStatus, durationMs),
			[types.StoreRefusesSome]: async () => this.#faultStoreLinks(some, fault.LinkFault.Reset, durationMs),
			[types.HoldRequestsToStore]: async () => this.#faultStoreLinks([gateway], fault.LinkFault.HoldRequests, durationMs),
			[types.HoldResponsesOfStore]: async () => this.#faultStoreLinks([gateway], fault.LinkFault.HoldResponses, durationMs),
			[types.SilenceStoreLink]: async () => this.#faultStoreLinks([gateway], fault.LinkFault.Silence, 0),
		};
		await actions[action.type]!();
	}

	/** Restarts the store from an older copy; the operator and the servers write again at once what was lost. */
	async #returnStore(awayMs: number, ageSeconds: number): Promise<void> {
		const {store, operator, fleet} = this.options.system;
		await store.returnFromCopy(ageSeconds * millisecondsPerSecond, awayMs);
		operator.writeAgain();
		fleet.writeAgain();
	}

	async #faultStore(request: fault.FaultRequest, durationMs: number): Promise<void> {
		const {server} = this.options.system.store;
		await this.#disrupt(targets.Store, '', false, async () => {
			await server.applyFault(request);
			await util.sleep(durationMs);
			await server.applyFault({fault: fault.FaultName.Clear});
		});
	}

	async #faultStoreLinks(gateways: readonly gatewayProcess.GatewayProcess[], linkFault: fault.LinkFault, durationMs: number): Promise<void> {
		await Promise.all(gateways.map(async gateway => this.#disrupt(targets.StoreLink, gateway.name, false, async () =>
			this.#faultLinks([gateway], linkFault, durationMs))));
	}

	/** Lets the store refuse all calls of some gateways. */
	async #refuseCalls(gateways: readonly gatewayProcess.GatewayProcess[], status: number, durationMs: number): Promise<void> {
		const {store} = this.options.system;
		await Promise.all(gateways.map(async gateway => this.#disrupt(targets.StoreLink, gateway.name, false, async () => {
			const refusal: usersPlatform.StoreRefusal = {status, concerns: port => gateway.storeLink.usesPort(port)};
			store.refusals.add(refusal);
			await util.sleep(durationMs);
			store.refusals.delete(refusal);
		})));
	}

	async #faultLinks(
		gateways: readonly gatewayProcess.GatewayProcess[],
		linkFault: fault.LinkFault,
		durationMs: number,
		delayMs?: number,
	): Promise<void> {
		await Promise.all(gateways.map(async ({storeLink}) => timedFaults.faultLink(storeLink, linkFault, durationMs, delayMs)));
	}

	async #playOnServer(action: platformAction.PlannedAction): Promise<void> {
		const {fleet} = this.options.system;
		const server = fleet.servers[action.targetIndex]!;
		const {durationMs, amount} = action;
		const linkFaults: Partial<Record<platformAction.ActionType, fault.LinkFault>> = {
			[types.DelayServerLink]: fault.LinkFault.Delay,
			[types.HoldRequestsToServer]: fault.LinkFault.HoldRequests,
			[types.HoldResponsesOfServer]: fault.LinkFault.HoldResponses,
			[types.ResetServerLink]: fault.LinkFault.Reset,
			[types.SilenceServerLink]: fault.LinkFault.Silence,
		};
		const linkFault = linkFaults[action.type];
		if (linkFault !== undefined) {
			await this.#disrupt(targets.ServerLink, server.id, false, async () =>
				timedFaults.faultLink(server.link, linkFault, linkFault === fault.LinkFault.Silence ? 0 : durationMs, amount * millisecondsPerAmount));
			return;
		}

		await this.#disrupt(targets.Server, server.id, false, async () => this.#faultServer(server, action));
	}

	async #faultServer(server: serverFleet.FleetServer, action: platformAction.PlannedAction): Promise<void> {
		const {system: {fleet, operator}} = this.options;
		const {standIn} = server;
		const {durationMs, amount} = action;
		const actions: Partial<Record<platformAction.ActionType, () => Promise<unknown>>> = {
			[types.CrashServer]: async () => this.#crashServer(server, durationMs),
			[types.DrainServer]: async () => this.#leave(server, action),
			[types.RemoveEntry]: async () => this.#leave(server, action),
			async [types.SlowServer]() {
				standIn.extraDelayMs = amount * slowMsPerAmount;
				await util.sleep(durationMs);
				standIn.extraDelayMs = 0;
			},
			async [types.RestartServer]() {
				standIn.restart();
				fleet.list(server, 'ready');
			},
			[types.ReplaceServer]: async () => {
				this.#replacements += 1;
				const id = `${server.service}-new-${this.#replacements}`;
				await fleet.replace(action.targetIndex, id, operator.newestVersionOf(server.model));
			},
			[types.LateOrders]: async () => timedFaults.setOrderFault(standIn, usersPlatform.OrderFault.Late, durationMs),
			[types.LostOrders]: async () => timedFaults.setOrderFault(standIn, usersPlatform.OrderFault.Lost, durationMs),
			[types.FullServer]: async () => timedFaults.setServerFault(standIn, usersPlatform.ServerFault.Full, durationMs),
			[types.BreakStreams]: async () => timedFaults.setServerFault(standIn, usersPlatform.ServerFault.BreakStream, durationMs),
		};
		await actions[action.type]!();
	}

	async #crashServer(server: serverFleet.FleetServer, durationMs: number): Promise<void> {
		const {fleet} = this.options.system;
		await server.standIn.server.applyFault({fault: fault.FaultName.Outage});
		await util.sleep(Math.min(durationMs, entryLifeMs));
		if (durationMs > entryLifeMs) {
			fleet.unlist(server);
			await util.sleep(durationMs - entryLifeMs);
		}

		server.standIn.restart();
		await server.standIn.server.applyFault({fault: fault.FaultName.Clear});
		fleet.list(server, 'ready');
	}

	/** Lists a server as draining or removes its entry, lets it serve on, ends it, and starts it again under the same id. */
	async #leave(server: serverFleet.FleetServer, action: platformAction.PlannedAction): Promise<void> {
		const {fleet} = this.options.system;
		const from = Date.now();
		if (action.type === types.DrainServer) {
			fleet.list(server, 'draining');
		} else {
			fleet.unlist(server);
		}

		const period: Mutable<check.platform.LeavingPeriod> = {server: server.id, from, to: Infinity};
		this.leavingPeriods.push(period);
		await util.sleep(this.options.bounds.drainMs + leaveMarginMs);
		period.to = Date.now();
		fleet.unlist(server);
		await server.standIn.server.applyFault({fault: fault.FaultName.Outage});
		await util.sleep(action.durationMs);
		server.standIn.restart();
		await server.standIn.server.applyFault({fault: fault.FaultName.Clear});
		fleet.list(server, 'ready');
	}

	async #sendCrashingPrompts(durationMs: number): Promise<void> {
		const {system: {fleet}, clients} = this.options;
		clients.crashingShare = crashingShare;
		await util.sleep(durationMs);
		clients.crashingShare = 0;
		await fleet.waitForRestarts();
	}

	/** Records a disruption while an action lasts. */
	async #disrupt(target: check.platform.DisruptionTarget, name: string, isPlanned: boolean, act: () => Promise<void>): Promise<void> {
		const disruption = this.#beginDisruption(target, name, isPlanned);
		await act();
		disruption.to = Date.now();
	}

	#beginDisruption(target: check.platform.DisruptionTarget, name: string, isPlanned: boolean): Mutable<check.platform.Disruption> {
		const disruption = {
			target, name, isPlanned, from: Date.now(), to: Infinity,
		};
		this.disruptions.push(disruption);
		return disruption;
	}
}
