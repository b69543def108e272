import * as core from '@bluebellmast/core';
import type * as peers from '../peers/index.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as coordinationController from './coordination-controller.js';

/** Records decisions on requests of accounts with a quota, for the metrics. */
export type QuotaRecorder = {
	recordDecision(account: string, units: number, outcome: core.quota.QuotaOutcome): void;
};

/** Dependencies of the controller. */
export type QuotaControllerDependencies = {
	readonly vm: string;
	readonly bounds: core.quota.QuotaBounds;
	readonly config: core.routing.ConfigState;
	/** Age of the configuration up to which accounts that it does not contain are admitted by other VMs' requests, in milliseconds. */
	readonly propagationMs: number;
	readonly coordination: Pick<coordinationController.CoordinationController, 'listVmNames' | 'findPeerAddress'>;
	readonly exchange: Pick<peers.PeerExchange, 'sendQuotaMessage'>;
	readonly recorder: QuotaRecorder;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

type Waiting = {
	readonly account: string;
	readonly units: number;
	readonly resolve: (decided: core.quota.DecidedAsk) => void;
};

/** Enforces the quotas of client accounts together with the other VMs; does nothing while no account has one. */
export class QuotaController {
	readonly #agent: core.quota.QuotaAgent;
	readonly #waiting = new Map<number, Waiting>();
	#accounts = new Map<string, core.quota.AccountQuota>();

	constructor(private readonly dependencies: QuotaControllerDependencies) {
		const {vm, bounds, config, propagationMs, clock, log} = dependencies;
		this.#agent = new core.quota.QuotaAgent({
			vm,
			incarnation: `${vm}/${clock.wallNow()}`,
			startedAt: clock.suspendAwareNow(),
			bounds,
			findQuota: account => this.#accounts.get(account),
			admitsUnknown: () => config.ageMs(clock.suspendAwareNow()) <= propagationMs,
			onPeerChange(peer, isResponsive) {
				log.write(eventLog.LogEvent.QuotaKeeperChanged, {peer, isResponsive});
			},
		});
	}

	/** Sum of the shares that this VM holds, over the partitions of the accounts. */
	get heldShares(): number {
		return this.#isActive ? this.#agent.countHeldShares(this.#now) : 0;
	}

	/** Applies the quotas of a newer configuration. */
	applyConfig({accounts = []}: core.routing.GatewayConfig): void {
		this.#accounts = new Map(accounts.flatMap(({name, quota}) => quota === undefined ? [] : [[name, quota] as const]));
		this.#agent.setAccounts([...this.#accounts.keys()]);
	}

	/** Takes the units of one attempt. */
	async take(account: string, units: number): Promise<core.quota.DecidedAsk> {
		const result = this.#agent.ask(account, units, this.#now);
		const decided = typeof result === 'number'
			? await new Promise<core.quota.DecidedAsk>(resolve => {
				this.#waiting.set(result, {account, units, resolve});
				this.#flush();
			})
			: result;
		this.dependencies.recorder.recordDecision(account, units, decided.decision.outcome);
		return decided;
	}

	/** Gives units back that were taken and provably not used. */
	giveBack(account: string, units: number): void {
		this.#agent.giveBack(account, units, this.#now);
	}

	/** Handles a message of another VM, and responds to its address. */
	receive(message: peers.QuotaMessage, address: string): void {
		this.#updateVms();
		if (message.type === core.quota.QuotaMessageType.Call) {
			const reply = this.#agent.receiveCall(message.call, this.#now);
			this.dependencies.exchange.sendQuotaMessage({type: core.quota.QuotaMessageType.Reply, reply}, address);
		} else {
			this.#settle(this.#agent.receiveReply(message.reply, this.#now));
		}

		this.#flush();
	}

	/** Renews the loans of this VM's shares, and sends again what had no response. */
	tick(): void {
		if (!this.#isActive) {
			return;
		}

		this.#updateVms();
		this.#settle(this.#agent.tick(this.#now));
		this.#flush();
	}

	/** Notifies the other VMs that this one is no longer a keeper. */
	beginShutdown(): void {
		if (!this.#isActive) {
			return;
		}

		for (const {to, reply} of this.#agent.beginShutdown(this.#now)) {
			this.#send(to, {type: core.quota.QuotaMessageType.Reply, reply});
		}
	}

	get #isActive(): boolean {
		return this.#accounts.size > 0 || this.#waiting.size > 0;
	}

	get #now(): number {
		return this.dependencies.clock.suspendAwareNow();
	}

	#updateVms(): void {
		this.#agent.setVms(this.dependencies.coordination.listVmNames(), this.#now);
	}

	#settle(decided: readonly core.quota.DecidedAsk[]): void {
		for (const result of decided) {
			this.#waiting.get(result.id)?.resolve(result);
			this.#waiting.delete(result.id);
		}
	}

	#flush(): void {
		if (!this.#agent.hasOutgoing) {
			return;
		}

		for (const {to, call} of this.#agent.takeCalls(this.#now)) {
			this.#send(to, {type: core.quota.QuotaMessageType.Call, call});
		}
	}

	#send(vm: string, message: peers.QuotaMessage): void {
		const address = this.dependencies.coordination.findPeerAddress(vm);
		if (address !== undefined) {
			this.dependencies.exchange.sendQuotaMessage(message, address);
		}
	}
}
