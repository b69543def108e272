import * as clients from '@bluebellmast/kv';
import * as purify from 'purify-ts';

/** In-memory key-value store that several clients share. */
export class MemoryKv {
	readonly entries = new Map<string, clients.kv.KvEntry>();
	readonly watches = new Map<clients.kv.KvWatchListener, string>();
	/** When set, watch listeners are not called. */
	dropsWatchEvents = false;
	/** When set, the next write takes effect but its response is lost. */
	losesNextResponse = false;
	#revision = 0;

	/** Writes a value directly, without a client. */
	put(key: string, value: Uint8Array): number {
		this.#revision += 1;
		const entry = {key, value, revision: this.#revision};
		this.entries.set(key, entry);
		for (const [listener, watched] of this.watches) {
			if (watched === key && !this.dropsWatchEvents) {
				listener.onChange({key, entry});
			}
		}

		return this.#revision;
	}

	get revision(): number {
		return this.#revision;
	}
}

/** Client of the in-memory store; fails all calls while `down` is set. */
export class MemoryKvClient implements clients.kv.KeyValueClient {
	down = false;
	/** When set, reads of manifest sections fail. */
	failsSectionReads = false;
	reads = 0;

	constructor(readonly store: MemoryKv) {}

	async get(key: string): clients.kv.KvResult<clients.kv.KvEntry | undefined> {
		this.reads += 1;
		const fails = this.down || (this.failsSectionReads && key.startsWith('manifest/section/'));
		return fails ? notSent() : purify.Right(this.store.entries.get(key));
	}

	async getPrefix(prefix: string): clients.kv.KvResult<readonly clients.kv.KvEntry[]> {
		return this.down ? notSent() : purify.Right([...this.store.entries.values()].filter(entry => entry.key.startsWith(prefix)));
	}

	async compareAndSwap(key: string, expectedRevision: number, value: Uint8Array): clients.kv.KvResult<clients.kv.KvSwapResult> {
		if (this.down) {
			return notSent();
		}

		const current = this.store.entries.get(key);
		if ((current?.revision ?? 0) !== expectedRevision) {
			return purify.Right({swapped: false, revision: this.store.revision, ...(current && {current})});
		}

		const revision = this.store.put(key, value);
		if (this.store.losesNextResponse) {
			this.store.losesNextResponse = false;
			return purify.Left({code: clients.kv.KvErrorCode.OutcomeUnknown, message: 'response lost'});
		}

		return purify.Right({swapped: true, revision});
	}

	async compareAndDelete(): clients.kv.KvResult<clients.kv.KvSwapResult> {
		return notSent();
	}

	async grantLease(): clients.kv.KvResult<clients.kv.KvLease> {
		return notSent();
	}

	async keepLeaseAlive(): clients.kv.KvResult<clients.kv.KvLease> {
		return notSent();
	}

	async revokeLease(): clients.kv.KvResult<void> {
		return notSent();
	}

	watch(key: string, _prefix: boolean, listener: clients.kv.KvWatchListener): clients.kv.KvWatch {
		const {watches} = this.store;
		watches.set(listener, key);
		return {
			close() {
				watches.delete(listener);
			},
		};
	}
}

function notSent<Value>(): purify.Either<clients.kv.KvError, Value> {
	return purify.Left({code: clients.kv.KvErrorCode.NotSent, message: 'down'});
}
