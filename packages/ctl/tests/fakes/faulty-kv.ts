import * as clients from '@bluebellmast/kv';
import * as purify from 'purify-ts';
import * as memoryKv from '../../../router/tests/controllers/fakes/memory-kv.js';

/** What goes wrong with one call. */
export enum KvFault {
	None = 'none',
	NotSent = 'not_sent',
	/** A write takes effect and its answer is lost. */
	AnswerLost = 'answer_lost',
	/** A write is lost, and the client can't tell. */
	WriteLost = 'write_lost',
	/** A write's answer is lost, and it arrives some time later. */
	WriteDelayed = 'write_delayed',
}

/** Draws the fault of each call, and lets it wait for its turn. */
export type FaultPlan = {
	nextFault(): KvFault;
	waitForTurn(what: string): Promise<void>;
};

/** Client of a key-value service in memory whose calls interleave and fail as a plan says. */
export class FaultyKvClient extends memoryKv.MemoryKvClient {
	/** Writes that arrive after their call has ended. */
	readonly delayedWrites: Array<Promise<unknown>> = [];

	constructor(store: memoryKv.MemoryKv, readonly plan: FaultPlan) {
		super(store);
	}

	override async get(key: string): clients.kv.KvResult<clients.kv.KvEntry | undefined> {
		await this.plan.waitForTurn('get');
		return this.plan.nextFault() === KvFault.None ? super.get(key) : fail(clients.kv.KvErrorCode.NotSent);
	}

	override async compareAndSwap(key: string, expectedRevision: number, value: Uint8Array): clients.kv.KvResult<clients.kv.KvSwapResult> {
		await this.plan.waitForTurn('swap');
		switch (this.plan.nextFault()) {
			case KvFault.None: {
				return super.compareAndSwap(key, expectedRevision, value);
			}

			case KvFault.NotSent: {
				return fail(clients.kv.KvErrorCode.NotSent);
			}

			case KvFault.AnswerLost: {
				await super.compareAndSwap(key, expectedRevision, value);
				return fail(clients.kv.KvErrorCode.OutcomeUnknown);
			}

			case KvFault.WriteLost: {
				return fail(clients.kv.KvErrorCode.OutcomeUnknown);
			}

			case KvFault.WriteDelayed: {
				this.delayedWrites.push(this.#writeLater(key, expectedRevision, value));
				return fail(clients.kv.KvErrorCode.OutcomeUnknown);
			}
		}
	}

	async close(): Promise<void> {
		await Promise.all(this.delayedWrites);
	}

	async #writeLater(key: string, expectedRevision: number, value: Uint8Array): Promise<void> {
		await this.plan.waitForTurn('delayed write');
		await super.compareAndSwap(key, expectedRevision, value);
	}
}

function fail<Value>(code: clients.kv.KvErrorCode): purify.Either<clients.kv.KvError, Value> {
	return purify.Left({code, message: code});
}
