import {expect} from 'chai';
import * as core from '@bluebellmast/core';

const {LedgerEventType: eventType, LedgerEffectType: effectType, ShardCallResult: callResult, VerdictType: verdictType} = core.ledger;

/** How the simulated key-value service handles a call. */
export enum SimulatedCallResult {
	Ok = 'ok',
	/** Executed, but the response is lost. */
	LostResponse = 'lost_answer',
	/** Reported as lost; may be executed later. */
	Delayed = 'delayed',
	NotSent = 'not_sent',
}

type Effect = core.ledger.LedgerEffect;
type Swap = Extract<Effect, {type: core.ledger.LedgerEffectType.SwapShard}>;
type Call = Extract<Effect, {type: core.ledger.LedgerEffectType.SwapShard | core.ledger.LedgerEffectType.ReadShard}>;

type Router = {
	vm: string;
	incarnation: string;
	node: core.ledger.LedgerNode;
};

/** A request as seen by its caller and its router. */
export type SimulatedRequest = {
	readonly router: Router;
	readonly incarnation: string;
	readonly intent: core.ledger.Intent;
	verdict?: core.ledger.VerdictType;
	sent: boolean;
	settled: boolean;
};

type Message = {readonly from: string; readonly to: string; readonly incarnation: string; readonly event: core.ledger.LedgerEvent};

/** Simulates several routers with a key-value service. The test decides when messages are delivered and calls end. */
export class LedgerSimulation {
	now = 1000;
	readonly requests: SimulatedRequest[] = [];
	readonly calls: Array<{readonly router: Router; readonly incarnation: string; readonly call: Call}> = [];
	readonly messages: Message[] = [];
	readonly delayedSwaps: Swap[] = [];
	readonly routers: Router[];
	readonly options = core.ledger.createLedgerOptions({shardCount: 2, commitIntervalMs: 5, settleDelayMs: 20});
	steps = 0;
	kvCalls = 0;
	#lastId = 0;
	readonly #storedShards = new Map<number, {shard: core.ledger.LedgerShard; revision: number}>();
	readonly #executions = new Map<string, core.ledger.Intent[]>();

	constructor(routerCount: number) {
		this.routers = Array.from({length: routerCount}, (_, index) => this.#createRouter(`vm${index}`));
		this.setAllMembers();
	}

	/** Sets the complete list of routers as the live members of every router. */
	setAllMembers(): void {
		for (const router of this.routers) {
			this.setMembers(router, this.routers.map((_, index) => index));
		}
	}

	setMembers(router: Router, indexes: readonly number[]): void {
		const members = indexes.map(index => ({vm: this.routers[index]!.vm, incarnation: this.routers[index]!.incarnation}));
		router.node = core.ledger.setMembers(router.node, members);
	}

	begin(router: Router, key: string, digest: string, deadlineMs = 2000): void {
		this.#lastId += 1;
		const {vm, incarnation} = router;
		const intent = {
			account: 'club', key, digest, vm, incarnation, attempt: `t${this.#lastId}`, at: this.now,
		};
		this.requests.push({
			router, incarnation, intent, sent: false, settled: false,
		});
		this.#applyLedgerEvent(router, {type: eventType.Begin, intent, deadlineAt: this.now + deadlineMs});
	}

	/** Sends a request when its router still allows it. Any time may pass between the verdict and this call. */
	send(request: SimulatedRequest): void {
		if (request.router.incarnation !== request.incarnation) {
			return;
		}

		const claim = core.ledger.claimSend(request.router.node, request.intent.attempt, this.now);
		request.router.node = claim.node;
		if (!claim.allowed) {
			return;
		}

		expect(request.sent, 'sent twice').to.equal(false);
		expect(request.verdict, 'sent after a refusal').to.equal(verdictType.Proceed);
		request.sent = true;
		const executions = [...this.getExecutions(request.intent.key), request.intent];
		this.#executions.set(request.intent.key, executions);
		expect(executions.length, `executions of key ${request.intent.key}`).to.be.at.most(1);
	}

	settle(request: SimulatedRequest, result: core.ledger.AttemptResult): void {
		const isOpen = request.router.incarnation === request.incarnation && request.verdict === verdictType.Proceed && !request.settled;
		if (!isOpen || request.sent !== (result !== core.ledger.AttemptResult.NeverSent)) {
			return;
		}

		request.settled = true;
		if (result === core.ledger.AttemptResult.RefusedBeforeExecution) {
			this.#executions.delete(request.intent.key);
		}

		const outcome = {status: 200, body: new TextEncoder().encode(request.intent.attempt)};
		this.#applyLedgerEvent(request.router, {
			type: eventType.Settle,
			attempt: request.intent.attempt,
			result,
			...(result === core.ledger.AttemptResult.ResponseComplete && {outcome}),
		});
	}

	crash(router: Router): void {
		const next = this.#createRouter(router.vm);
		router.incarnation = next.incarnation;
		router.node = next.node;
		this.setMembers(router, this.routers.map((_, index) => index));
	}

	advance(ms: number): void {
		this.now += ms;
		for (const router of this.routers) {
			this.#applyLedgerEvent(router, {type: eventType.Wake});
		}
	}

	/** Delivers the oldest message with the same sender and receiver as the message at `index`, since links preserve the order. */
	deliver(index: number): void {
		const {from, to} = this.messages[index] ?? {};
		const oldest = this.messages.findIndex(item => item.from === from && item.to === to);
		const message = oldest === -1 ? undefined : this.messages.splice(oldest, 1)[0];
		const router = this.routers.find(item => item.vm === message?.to && item.incarnation === message.incarnation);
		if (message !== undefined && router !== undefined) {
			this.#applyLedgerEvent(router, message.event);
		}
	}

	endCall(index: number, result: SimulatedCallResult): void {
		const item = this.calls.splice(index, 1)[0];
		if (item === undefined) {
			return;
		}

		const {router, incarnation, call} = item;
		const end = this.#executeCall(call, result);
		if (router.incarnation === incarnation) {
			this.#applyLedgerEvent(router, {type: eventType.CallEnded, shard: call.shard, end});
		}
	}

	/** Executes a swap that its router no longer waits for. */
	applyDelayedSwap(index: number): void {
		const swap = this.delayedSwaps.splice(index, 1)[0];
		if (swap !== undefined) {
			this.#swap(swap);
		}
	}

	/** Delivers all messages and ends all calls without faults until no router has work left. */
	runUntilIdle(): void {
		this.setAllMembers();
		for (let round = 0; round < 2000; round += 1) {
			if (this.messages.length > 0) {
				this.deliver(0);
			} else if (this.calls.length > 0) {
				this.endCall(0, SimulatedCallResult.Ok);
			} else if (this.routers.some(router => core.ledger.getNextWakeTime(router.node) !== undefined)) {
				this.advance(10);
			} else {
				return;
			}
		}

		throw new Error('the ledger is not idle after 2000 rounds');
	}

	getExecutions(key: string): readonly core.ledger.Intent[] {
		return this.#executions.get(key) ?? [];
	}

	#createRouter(vm: string): Router {
		this.#lastId += 1;
		const incarnation = `${vm}-${this.#lastId}`;
		return {vm, incarnation, node: core.ledger.createLedgerNode({vm, incarnation}, this.options)};
	}

	#applyLedgerEvent(router: Router, event: core.ledger.LedgerEvent): void {
		this.steps += 1;
		const step = core.ledger.stepLedger(router.node, event, this.now);
		router.node = step.state;
		for (const effect of step.effects) {
			this.#applyEffect(router, effect);
		}
	}

	#applyEffect(router: Router, effect: Effect): void {
		switch (effect.type) {
			case effectType.ReadShard:
			case effectType.SwapShard: {
				this.kvCalls += 1;
				this.calls.push({router, incarnation: router.incarnation, call: effect});
				break;
			}

			case effectType.Verdict: {
				this.#recordVerdict(effect.verdict);
				break;
			}

			case effectType.SendIntent: {
				const {intent, waitMs} = effect;
				this.#sendMessage(router.vm, effect.to, {
					type: eventType.PeerIntent, from: router.vm, intent, waitMs,
				});
				break;
			}

			case effectType.SendSettlement: {
				this.#sendMessage(router.vm, effect.to, {type: eventType.PeerSettlement, from: router.vm, settlement: effect.settlement});
				break;
			}

			case effectType.SendVerdict: {
				this.#sendMessage(router.vm, effect.to, {type: eventType.PeerVerdict, from: router.vm, verdict: effect.verdict});
				break;
			}
		}
	}

	#sendMessage(from: string, to: string, event: core.ledger.LedgerEvent): void {
		const {incarnation} = this.routers.find(item => item.vm === to)!;
		this.messages.push({
			from, to, incarnation, event,
		});
	}

	#recordVerdict(verdict: core.ledger.LedgerVerdict): void {
		const request = this.requests.find(item => item.intent.attempt === verdict.attempt)!;
		expect(request.verdict, 'second verdict on a request').to.equal(undefined);
		request.verdict = verdict.type;
		if (verdict.type === verdictType.Replay) {
			const execution = this.getExecutions(request.intent.key)[0];
			expect(new TextDecoder().decode(verdict.outcome?.body), 'recorded response').to.equal(execution?.attempt);
			expect(request.intent.digest, 'digest of the recorded response').to.equal(execution?.digest);
		}

		if (verdict.type === verdictType.KeyReused) {
			const {key, digest} = request.intent;
			const isReused = this.requests.some(item => item.intent.key === key && item.intent.digest !== digest);
			expect(isReused, 'another request with the key').to.equal(true);
		}
	}

	#executeCall(call: Call, result: SimulatedCallResult): core.ledger.ShardCallEnd {
		const {callId} = call;
		if (result === SimulatedCallResult.NotSent || call.type === effectType.ReadShard) {
			return result === SimulatedCallResult.Ok && call.type === effectType.ReadShard
				? {result: callResult.Seen, callId, ...this.#getStoredShard(call.shard)}
				: {result: callResult.NoEffect, callId};
		}

		if (result === SimulatedCallResult.Delayed) {
			this.delayedSwaps.push(call);
			return {result: callResult.Unknown, callId};
		}

		const isSwapped = this.#swap(call);
		if (result === SimulatedCallResult.LostResponse) {
			return {result: callResult.Unknown, callId};
		}

		const stored = this.#getStoredShard(call.shard);
		return isSwapped
			? {result: callResult.Swapped, callId, revision: stored.revision}
			: {result: callResult.Seen, callId, ...stored};
	}

	#getStoredShard(shard: number) {
		return this.#storedShards.get(shard) ?? {shard: core.ledger.emptyShard, revision: 0};
	}

	#swap(swap: Swap): boolean {
		if (this.#getStoredShard(swap.shard).revision !== swap.expectedRevision) {
			return false;
		}

		this.#lastId += 1;
		const plain = structuredClone(core.ledger.listEntries(swap.value));
		this.#storedShards.set(swap.shard, {shard: core.ledger.createShard(plain), revision: this.#lastId});
		return true;
	}
}
