import * as clients from '@bluebellmast/kv';
import * as purify from 'purify-ts';
import * as memoryKv from './memory-kv.js';

/** In-memory key-value store with leases that expire by a clock which the test sets. */
export class LeaseStore extends memoryKv.MemoryKv {
	readonly leases = new Map<string, {endsAt: number; ttlMs: number; readonly keys: string[]}>();
	nowMs = 1_000_000;

	now(): number {
		return this.nowMs;
	}

	/** Removes expired leases with their keys. */
	removeExpiredLeases(): void {
		for (const [id, lease] of this.leases) {
			if (lease.endsAt <= this.nowMs) {
				this.removeLease(id);
			}
		}
	}

	removeLease(id: string): void {
		for (const key of this.leases.get(id)?.keys ?? []) {
			this.entries.delete(key);
		}

		this.leases.delete(id);
	}
}

/** Client of a {@link LeaseStore}; fails all calls while `down` is set. */
export class LeaseKvClient extends memoryKv.MemoryKvClient {
	constructor(readonly leaseStore: LeaseStore) {
		super(leaseStore);
	}

	override async get(key: string): clients.kv.KvResult<clients.kv.KvEntry | undefined> {
		this.leaseStore.removeExpiredLeases();
		return super.get(key);
	}

	override async compareAndSwap(
		key: string,
		expectedRevision: number,
		value: Uint8Array,
		leaseId?: string,
	): clients.kv.KvResult<clients.kv.KvSwapResult> {
		this.leaseStore.removeExpiredLeases();
		const before = this.leaseStore.revision;
		const result = await super.compareAndSwap(key, expectedRevision, value);
		if (this.leaseStore.revision !== before && leaseId !== undefined) {
			this.leaseStore.leases.get(leaseId)?.keys.push(key);
		}

		return result;
	}

	override async grantLease(ttlMs = 0): clients.kv.KvResult<clients.kv.KvLease> {
		if (this.down) {
			return this.failure(clients.kv.KvErrorCode.NotSent);
		}

		const id = String(this.leaseStore.leases.size + this.leaseStore.nowMs);
		this.leaseStore.leases.set(id, {endsAt: this.leaseStore.nowMs + ttlMs, ttlMs, keys: []});
		return purify.Right({id, ttlMs});
	}

	override async keepLeaseAlive(lease?: clients.kv.KvLease): clients.kv.KvResult<clients.kv.KvLease> {
		this.leaseStore.removeExpiredLeases();
		const known = this.leaseStore.leases.get(lease!.id);
		if (this.down || known === undefined) {
			return this.failure(this.down ? clients.kv.KvErrorCode.NotSent : clients.kv.KvErrorCode.LeaseLost);
		}

		known.endsAt = this.leaseStore.nowMs + known.ttlMs;
		return purify.Right(lease!);
	}

	override async revokeLease(lease?: clients.kv.KvLease): clients.kv.KvResult<void> {
		if (!this.down) {
			this.leaseStore.removeLease(lease!.id);
		}

		return purify.Right(undefined);
	}

	private failure<Value>(code: clients.kv.KvErrorCode): purify.Either<clients.kv.KvError, Value> {
		return purify.Left({code, message: 'down'});
	}
}
