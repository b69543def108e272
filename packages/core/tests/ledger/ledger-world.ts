import {expect} from 'chai';
import * as core from '@bluebellmast/core';

const {LedgerEventType: eventType, LedgerEffectType: effectType, ShardCallResult: callResult, VerdictType: verdictType} = core.ledger;

/** How the fake key-value service treats a call. */
export enum CallFate {
	Ok = 'ok',
	/** Carried out, and its answer is lost. */
	LostAnswer = 'lost_answer',
	/** Lost on the way; may be carried out later. */
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

/** One request as its caller and its router see it. */
export type WorldRequest = {
	readonly router: Router;
	readonly incarnation: string;
	readonly intent: core.ledger.Intent;
	verdict?: core.ledger.VerdictType;
	sent: boolean;
	settled: boolean;
};

type Message = {readonly from: string; readonly to: string; readonly incarnation: string; readonly event: core.ledger.LedgerEvent};

/** Several routers on a fake key-value service, with every delivery in the hand of the test. */
export class LedgerWorld {
	now = 1000;
	readonly requests: WorldRequest[] = [];
	readonly calls: Array<{readonly router: Router; readonly incarnation: string; readonly call: Call}> = [];
	readonly messages: Message[] = [];
	readonly delayed: Swap[] = [];
	readonly routers: Router[];
	readonly options = core.ledger.createLedgerOptions({shardCount: 2, commitIntervalMs: 5, settleDelayMs: 20});
	steps = 0;
	kvCalls = 0;
	#counter = 0;
	readonly #values = new Map<number, {shard: core.ledger.LedgerShard; revision: number}>();
	readonly #runs = new Map<string, core.ledger.Intent[]>();

	constructor(routerCount: number) {
		this.routers = Array.from({length: routerCount}, (_, index) => this.#createRouter(`vm${index}`));
		this.shareMembers();
	}

	/** Gives every router the true list of live routers. */
	shareMembers(): void {
		for (const router of this.routers) {
			this.setMembers(router, this.routers.map((_, index) => index));
		}
	}

	setMembers(router: Router, indexes: readonly number[]): void {
		const members = indexes.map(index => ({vm: this.routers[index]!.vm, incarnation: this.routers[index]!.incarnation}));
		router.node = core.ledger.setMembers(router.node, members);
	}

	begin(router: Router, key: string, digest: string, deadlineMs = 2000): void {
		this.#counter += 1;
		const {vm, incarnation} = router;
		const intent = {
			account: 'club', key, digest, vm, incarnation, attempt: `t${this.#counter}`, at: this.now,
		};
		this.requests.push({
			router, incarnation, intent, sent: false, settled: false,
		});
		this.#step(router, {type: eventType.Begin, intent, deadlineAt: this.now + deadlineMs});
	}

	/** The router may pause for any time between the verdict and this. */
	send(request: WorldRequest): void {
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
		const runs = [...this.runsOf(request.intent.key), request.intent];
		this.#runs.set(request.intent.key, runs);
		expect(runs.length, `runs of ${request.intent.key}`).to.be.at.most(1);
	}

	settle(request: WorldRequest, result: core.ledger.AttemptResult): void {
		const isOpen = request.router.incarnation === request.incarnation && request.verdict === verdictType.Proceed && !request.settled;
		if (!isOpen || request.sent !== (result !== core.ledger.AttemptResult.NeverSent)) {
			return;
		}

		request.settled = true;
		if (result === core.ledger.AttemptResult.RefusedBeforeExecution) {
			this.#runs.delete(request.intent.key);
		}

		const outcome = {status: 200, body: new TextEncoder().encode(request.intent.attempt)};
		this.#step(request.router, {
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
			this.#step(router, {type: eventType.Wake});
		}
	}

	/** Delivers the oldest message of a link; links keep the order. */
	deliver(index: number): void {
		const {from, to} = this.messages[index] ?? {};
		const oldest = this.messages.findIndex(item => item.from === from && item.to === to);
		const message = oldest === -1 ? undefined : this.messages.splice(oldest, 1)[0];
		const router = this.routers.find(item => item.vm === message?.to && item.incarnation === message.incarnation);
		if (message !== undefined && router !== undefined) {
			this.#step(router, message.event);
		}
	}

	endCall(index: number, fate: CallFate): void {
		const item = this.calls.splice(index, 1)[0];
		if (item === undefined) {
			return;
		}

		const {router, incarnation, call} = item;
		const end = this.#carryOut(call, fate);
		if (router.incarnation === incarnation) {
			this.#step(router, {type: eventType.CallEnded, shard: call.shard, end});
		}
	}

	/** Carries out a write whose router has given up waiting for it. */
	applyDelayed(index: number): void {
		const swap = this.delayed.splice(index, 1)[0];
		if (swap !== undefined) {
			this.#swap(swap);
		}
	}

	/** Lets everything come to rest without further faults. */
	rest(): void {
		this.shareMembers();
		for (let round = 0; round < 2000; round += 1) {
			if (this.messages.length > 0) {
				this.deliver(0);
			} else if (this.calls.length > 0) {
				this.endCall(0, CallFate.Ok);
			} else if (this.routers.some(router => core.ledger.getNextWakeTime(router.node) !== undefined)) {
				this.advance(10);
			} else {
				return;
			}
		}

		throw new Error('the ledger does not come to rest');
	}

	runsOf(key: string): readonly core.ledger.Intent[] {
		return this.#runs.get(key) ?? [];
	}

	#createRouter(vm: string): Router {
		this.#counter += 1;
		const incarnation = `${vm}-${this.#counter}`;
		return {vm, incarnation, node: core.ledger.createLedgerNode({vm, incarnation}, this.options)};
	}

	#step(router: Router, event: core.ledger.LedgerEvent): void {
		this.steps += 1;
		const step = core.ledger.stepLedger(router.node, event, this.now);
		router.node = step.state;
		for (const effect of step.effects) {
			this.#takeEffect(router, effect);
		}
	}

	#takeEffect(router: Router, effect: Effect): void {
		switch (effect.type) {
			case effectType.ReadShard:
			case effectType.SwapShard: {
				this.kvCalls += 1;
				this.calls.push({router, incarnation: router.incarnation, call: effect});
				break;
			}

			case effectType.Verdict: {
				this.#takeVerdict(effect.verdict);
				break;
			}

			case effectType.SendIntent: {
				const {intent, waitMs} = effect;
				this.#post(router.vm, effect.to, {
					type: eventType.PeerIntent, from: router.vm, intent, waitMs,
				});
				break;
			}

			case effectType.SendSettlement: {
				this.#post(router.vm, effect.to, {type: eventType.PeerSettlement, from: router.vm, settlement: effect.settlement});
				break;
			}

			case effectType.SendVerdict: {
				this.#post(router.vm, effect.to, {type: eventType.PeerVerdict, from: router.vm, verdict: effect.verdict});
				break;
			}
		}
	}

	#post(from: string, to: string, event: core.ledger.LedgerEvent): void {
		const {incarnation} = this.routers.find(item => item.vm === to)!;
		this.messages.push({
			from, to, incarnation, event,
		});
	}

	#takeVerdict(verdict: core.ledger.LedgerVerdict): void {
		const request = this.requests.find(item => item.intent.attempt === verdict.attempt)!;
		expect(request.verdict, 'second verdict').to.equal(undefined);
		request.verdict = verdict.type;
		if (verdict.type === verdictType.Replay) {
			const run = this.runsOf(request.intent.key)[0];
			expect(new TextDecoder().decode(verdict.outcome?.body), 'recorded answer').to.equal(run?.attempt);
			expect(request.intent.digest, 'digest of the recorded answer').to.equal(run?.digest);
		}

		if (verdict.type === verdictType.KeyReused) {
			const {key, digest} = request.intent;
			const isReused = this.requests.some(item => item.intent.key === key && item.intent.digest !== digest);
			expect(isReused, 'another request with the key').to.equal(true);
		}
	}

	#carryOut(call: Call, fate: CallFate): core.ledger.ShardCallEnd {
		const {callId} = call;
		if (fate === CallFate.NotSent || call.type === effectType.ReadShard) {
			return fate === CallFate.Ok && call.type === effectType.ReadShard
				? {result: callResult.Seen, callId, ...this.#valueOf(call.shard)}
				: {result: callResult.NoEffect, callId};
		}

		if (fate === CallFate.Delayed) {
			this.delayed.push(call);
			return {result: callResult.Unknown, callId};
		}

		const isSwapped = this.#swap(call);
		if (fate === CallFate.LostAnswer) {
			return {result: callResult.Unknown, callId};
		}

		const value = this.#valueOf(call.shard);
		return isSwapped
			? {result: callResult.Swapped, callId, revision: value.revision}
			: {result: callResult.Seen, callId, ...value};
	}

	#valueOf(shard: number) {
		return this.#values.get(shard) ?? {shard: core.ledger.emptyShard, revision: 0};
	}

	#swap(swap: Swap): boolean {
		if (this.#valueOf(swap.shard).revision !== swap.expectedRevision) {
			return false;
		}

		this.#counter += 1;
		const plain = structuredClone(core.ledger.listEntries(swap.value));
		this.#values.set(swap.shard, {shard: core.ledger.createShard(plain), revision: this.#counter});
		return true;
	}
}
