import type * as kv from '@bluebellmast/kv';
import * as purify from 'purify-ts';

type StoredKey = {readonly entry: kv.kv.KvEntry; readonly leaseId?: string};

/** Key-value store in memory, in virtual time: leases end when `advance` passes their end. Counts its calls. */
export class MemoryStore {
	calls = 0;
	/** Number of writes and removals. */
	changes = 0;
	readonly keys = new Map<string, StoredKey>();
	/** When set, grants wait for this promise. */
	grantGate: Promise<void> | undefined;
	readonly #leases = new Map<string, {readonly ttlMs: number; endsAt: number}>();
	#now = 0;
	#revision = 0;
	#leaseCount = 0;

	/** The client of one VM. */
	get client(): kv.kv.KeyValueClient {
		const client: Partial<kv.kv.KeyValueClient> = {
			get: async key => this.#respond(this.keys.get(key)?.entry),
			compareAndSwap: async (key, expected, value, leaseId) => this.#respond(this.#swap(key, expected, value, leaseId)),
			grantLease: async ttlMs => {
				await this.grantGate;
				this.#leaseCount += 1;
				const id = `lease-${this.#leaseCount}`;
				this.#leases.set(id, {ttlMs, endsAt: this.#now + ttlMs});
				return this.#respond({id, ttlMs});
			},
			keepLeaseAlive: async lease => {
				const known = this.#leases.get(lease.id);
				known!.endsAt = this.#now + lease.ttlMs;
				return this.#respond(lease);
			},
			revokeLease: async lease => {
				this.#endLease(lease.id);
				return this.#respond(undefined);
			},
		};
		return client as kv.kv.KeyValueClient;
	}

	/** Number of leases that have not ended. */
	get leaseCount(): number {
		return this.#leases.size;
	}

	/** Moves the time on, and ends the leases that were not renewed. */
	advance(now: number): void {
		this.#now = now;
		for (const [id, lease] of this.#leases) {
			if (lease.endsAt <= now) {
				this.#endLease(id);
			}
		}
	}

	#respond<Value>(value: Value): purify.Either<kv.kv.KvError, Value> {
		this.calls += 1;
		return purify.Right(value);
	}

	#swap(key: string, expected: number, value: Uint8Array, leaseId?: string): kv.kv.KvSwapResult {
		const current = this.keys.get(key)?.entry;
		if ((current?.revision ?? 0) !== expected) {
			return {swapped: false, revision: this.#revision, current};
		}

		this.#revision += 1;
		this.changes += 1;
		this.keys.set(key, {entry: {key, value, revision: this.#revision}, leaseId});
		return {swapped: true, revision: this.#revision};
	}

	#endLease(id: string): void {
		this.#leases.delete(id);
		for (const [key, stored] of this.keys) {
			if (stored.leaseId === id) {
				this.keys.delete(key);
				this.changes += 1;
			}
		}
	}
}
