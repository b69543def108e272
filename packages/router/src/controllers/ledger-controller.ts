import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import * as wire from '@bluebellmast/wire';
import type * as peerNetwork from '../peers/peer-network.js';
import * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';
import * as ledgerBeginVerdict from './ledger-begin-verdict.js';
import * as ledgerShardStore from './ledger-shard-store.js';
import * as oneShotTimer from './one-shot-timer.js';

/** Options of {@link createLedgerController}. */
export type LedgerControllerOptions = {
	readonly self: core.ledger.LedgerMember;
	readonly kv: clients.kv.KeyValueClient;
	readonly peers: peerNetwork.PeerNetwork;
	readonly metrics: metrics.Metrics;
	/** System clock by default. */
	readonly clock?: clock.Clock;
	/** System timer by default. */
	readonly timer?: oneShotTimer.OneShotTimer;
	/** Overrides of the default ledger options. */
	readonly ledgerOptions?: Partial<core.ledger.LedgerOptions>;
	/** Prefix of the shards' keys; `ledger/` by default. */
	readonly keyPrefix?: string;
	/** Maximum time in milliseconds that a graceful shutdown waits for settlements to be recorded; 5000 by default. */
	readonly stopTimeoutMs?: number;
};

type ResolvedOptions = Required<Omit<LedgerControllerOptions, 'ledgerOptions' | 'kv' | 'keyPrefix'>>;

type VerdictCallback = (verdict: ledgerBeginVerdict.BeginVerdict) => void;

/**
 * Maintains the ledger of requests that must not be repeated. A request is sent only after `begin` has returned `proceed`
 * and `claimSend` has returned true; then it is settled once.
 */
export class LedgerController implements controller.Controller {
	readonly #options: ResolvedOptions;
	readonly #store: ledgerShardStore.LedgerShardStore;
	#node: core.ledger.LedgerNode;
	readonly #verdictCallbacks = new Map<core.model.AttemptId, VerdictCallback>();
	#cancelWake?: () => void;
	#wakeAt = Infinity;
	#onIdle?: () => void;

	constructor(options: ResolvedOptions, store: ledgerShardStore.LedgerShardStore, ledgerOptions: core.ledger.LedgerOptions) {
		this.#options = options;
		this.#store = store;
		this.#node = core.ledger.createLedgerNode(options.self, ledgerOptions);
	}

	async start(): Promise<void> {
		const {peers} = this.#options;
		peers.on(wire.peer.PeerMessageType.IntentRequest, (from, message) => {
			const {intent, waitMs} = message as wire.peer.IntentRequest;
			this.#applyLedgerEvent({
				type: core.ledger.LedgerEventType.PeerIntent, from, intent, waitMs,
			});
		});
		peers.on(wire.peer.PeerMessageType.IntentAnswer, (from, message) => {
			const {verdict} = message as wire.peer.IntentAnswer;
			this.#applyLedgerEvent({type: core.ledger.LedgerEventType.PeerVerdict, from, verdict});
		});
		peers.on(wire.peer.PeerMessageType.OutcomeNotice, (from, message) => {
			const {settlement} = message as wire.peer.OutcomeNotice;
			this.#applyLedgerEvent({type: core.ledger.LedgerEventType.PeerSettlement, from, settlement});
		});
	}

	/** Waits until every settlement is recorded, but not longer than `stopTimeoutMs`. */
	async stop(): Promise<void> {
		this.#node = {...this.#node, options: {...this.#node.options, settleDelayMs: 0}};
		this.#applyLedgerEvent({type: core.ledger.LedgerEventType.Wake});
		if (!core.ledger.isLedgerIdle(this.#node)) {
			await new Promise<void>(resolve => {
				this.#onIdle = resolve;
				this.#options.timer.after(this.#options.stopTimeoutMs, resolve);
			});
		}

		this.#cancelWake?.();
	}

	/** Sets the live routers, which determine the writers of the shards and which attempts belong to routers that are gone. */
	setMembers(members: readonly core.ledger.LedgerMember[]): void {
		this.#node = core.ledger.setMembers(this.#node, members);
	}

	/** Records the intent to send a request; resolves within a bounded part of its deadline. */
	async begin(req: ledgerBeginVerdict.BeginRequest): Promise<ledgerBeginVerdict.BeginVerdict> {
		const {account, key, digest, attempt, deadlineAt} = req;
		const {vm, incarnation} = this.#options.self;
		const intent = {
			account, key, digest, vm, incarnation, attempt, at: this.#options.clock.now(),
		};
		return new Promise(resolve => {
			this.#verdictCallbacks.set(attempt, resolve);
			this.#applyLedgerEvent({type: core.ledger.LedgerEventType.Begin, intent, deadlineAt});
		});
	}

	/** Claims the single permission to send; called right before the first byte is sent. If false, nothing may be sent. */
	claimSend(attempt: core.model.AttemptId): boolean {
		const claim = core.ledger.claimSend(this.#node, attempt, this.#options.clock.now());
		this.#node = claim.node;
		return claim.allowed;
	}

	/** Queues the result of an attempt for recording; does not wait until it is stored. */
	settle(
		attempt: core.model.AttemptId,
		result: core.ledger.AttemptResult,
		outcome?: core.ledger.RecordedOutcome,
	): void {
		this.#applyLedgerEvent({
			type: core.ledger.LedgerEventType.Settle, attempt, result, ...(outcome && {outcome}),
		});
	}

	/** Records the complete response of an attempt. */
	finish(attempt: core.model.AttemptId, outcome: core.ledger.RecordedOutcome): void {
		this.settle(attempt, core.ledger.AttemptResult.ResponseComplete, outcome);
	}

	/** Releases the key of an attempt that was not sent and will not be sent. */
	withdraw(attempt: core.model.AttemptId): void {
		this.settle(attempt, core.ledger.AttemptResult.NeverSent);
	}

	#applyLedgerEvent(event: core.ledger.LedgerEvent): void {
		const step = core.ledger.stepLedger(this.#node, event, this.#options.clock.now());
		this.#node = step.state;
		for (const effect of step.effects) {
			this.#executeEffect(effect);
		}

		this.#scheduleWake();
		if (this.#onIdle !== undefined && core.ledger.isLedgerIdle(this.#node)) {
			this.#onIdle();
		}
	}

	#executeEffect(effect: core.ledger.LedgerEffect): void {
		const {peers} = this.#options;
		switch (effect.type) {
			case core.ledger.LedgerEffectType.ReadShard: {
				void this.#awaitShardCall(effect.shard, this.#store.read(effect.shard, effect.callId));
				break;
			}

			case core.ledger.LedgerEffectType.SwapShard: {
				const {shard, callId, expectedRevision, value} = effect;
				void this.#awaitShardCall(shard, this.#store.swap(shard, callId, expectedRevision, value));
				break;
			}

			case core.ledger.LedgerEffectType.Verdict: {
				this.#deliverVerdict(effect.verdict, effect.retryAfterMs);
				break;
			}

			case core.ledger.LedgerEffectType.SendIntent: {
				this.#sendIntent(effect.to, effect.intent, effect.waitMs);
				break;
			}

			case core.ledger.LedgerEffectType.SendSettlement: {
				const message: wire.peer.OutcomeNotice = {type: wire.peer.PeerMessageType.OutcomeNotice, settlement: effect.settlement};
				peers.send(effect.to, message);
				break;
			}

			case core.ledger.LedgerEffectType.SendVerdict: {
				const message: wire.peer.IntentAnswer = {type: wire.peer.PeerMessageType.IntentAnswer, verdict: effect.verdict};
				peers.send(effect.to, message);
				break;
			}
		}
	}

	async #awaitShardCall(shard: number, call: Promise<core.ledger.ShardCallEnd>): Promise<void> {
		const end = await call;
		this.#applyLedgerEvent({type: core.ledger.LedgerEventType.CallEnded, shard, end});
	}

	#sendIntent(to: core.model.VmId, intent: core.ledger.Intent, waitMs: number): void {
		const message: wire.peer.IntentRequest = {type: wire.peer.PeerMessageType.IntentRequest, intent, waitMs};
		if (!this.#options.peers.send(to, message)) {
			this.#applyLedgerEvent({type: core.ledger.LedgerEventType.HandoverFailed, attempt: intent.attempt});
		}
	}

	#deliverVerdict(verdict: core.ledger.LedgerVerdict, retryAfterMs?: number): void {
		const resolve = this.#verdictCallbacks.get(verdict.attempt);
		this.#verdictCallbacks.delete(verdict.attempt);
		this.#options.metrics.increment('ledger.verdict', 1, {type: verdict.type});
		resolve?.(ledgerBeginVerdict.toBeginVerdict(verdict, retryAfterMs));
	}

	#scheduleWake(): void {
		const wakeAt = core.ledger.getNextWakeTime(this.#node) ?? Infinity;
		if (wakeAt === this.#wakeAt) {
			return;
		}

		this.#cancelWake?.();
		this.#cancelWake = undefined;
		this.#wakeAt = wakeAt;
		if (wakeAt === Infinity) {
			return;
		}

		const delayMs = Math.max(0, Math.ceil(wakeAt - this.#options.clock.now()));
		this.#cancelWake = this.#options.timer.after(delayMs, () => {
			this.#wakeAt = Infinity;
			this.#applyLedgerEvent({type: core.ledger.LedgerEventType.Wake});
		});
	}
}

/** Creates a ledger controller; omitted options get their default values. */
export function createLedgerController(options: LedgerControllerOptions): LedgerController {
	const {
		self, kv, peers, metrics,
		clock: time = new clock.SystemClock(),
		timer = new oneShotTimer.SystemTimer(),
		ledgerOptions = {},
		keyPrefix = 'ledger/',
		stopTimeoutMs = 5000,
	} = options;
	const store = new ledgerShardStore.LedgerShardStore(kv, keyPrefix, metrics);
	const resolvedOptions = {
		self, peers, metrics, clock: time, timer, stopTimeoutMs,
	};
	return new LedgerController(resolvedOptions, store, core.ledger.createLedgerOptions(ledgerOptions));
}
