import * as clients from '@bluebellmast/kv';
import * as purify from 'purify-ts';
import * as memoryKv from '../../../router/tests/controllers/fakes/memory-kv.js';

/** A fault of one call. */
export enum KvFault {
	None = 'none',
	/** The call fails before it is sent; it has no effect, and the client knows so. */
	NotSent = 'not_sent',
	/** The write takes effect, but its response is lost. */
	ResponseLost = 'answer_lost',
	/** The write is lost; the client does not know its outcome. */
	WriteLost = 'write_lost',
	/** The write takes effect after its call has failed. */
	WriteDelayed = 'write_delayed',
}

/** Selects the fault of each call and schedules the calls. */
export type FaultPlan = {
	nextFault(): KvFault;
	waitForTurn(label: string): Promise<void>;
};

/** Client of an in-memory key-value service whose calls interleave and fail according to a plan. */
export class FaultyKvClient extends memoryKv.MemoryKvClient {
	/** Writes that take effect after their call has ended. */
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

			case KvFault.ResponseLost: {
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
