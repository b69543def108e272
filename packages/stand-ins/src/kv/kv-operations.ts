/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import {Buffer} from 'node:buffer';
import * as kvBody from './kv-body.js';
import * as kvCall from './kv-call.js';
import * as kvFailure from './kv-failure.js';
import * as leaseTable from './lease-table.js';
import type * as revisionStore from './revision-store.js';

/** Carries out calls on the store and its leases. */
export class KvOperations {
	readonly #leases = new leaseTable.LeaseTable();

	constructor(
		private readonly store: revisionStore.RevisionStore,
		private readonly maxValueBytes: number,
		private readonly onChange: (change: revisionStore.StoredChange) => void,
	) {}

	/** Carries out a call and returns its answer or a failure. */
	carryOut(call: Exclude<kvCall.ProtocolCall, kvCall.KvCall.Watch>, body: kvBody.Body): unknown {
		switch (call) {
			case kvCall.KvCall.Range: {
				return this.#range(body);
			}

			case kvCall.KvCall.Txn: {
				return this.#txn(body);
			}

			case kvCall.KvCall.LeaseGrant: {
				return this.#grant(body);
			}

			case kvCall.KvCall.LeaseKeepAlive: {
				return this.#keepAlive(body);
			}

			case kvCall.KvCall.LeaseRevoke: {
				return this.#revoke(body);
			}
		}
	}

	/** Returns the header of an answer. */
	header(): unknown {
		return {cluster_id: '1', member_id: '1', revision: String(this.store.revision)};
	}

	/** Ends a lease at once, as if it had lapsed. */
	expireLease(id: string): void {
		this.#leases.revoke(id);
		this.#deleteKeysOf(id);
	}

	/** Ends the leases that have lapsed. */
	expireLeases(now: number): void {
		for (const id of this.#leases.expire(now)) {
			this.#deleteKeysOf(id);
		}
	}

	#range(body: kvBody.Body): unknown {
		const kvs = this.store.range(kvBody.rangeOf(body)).map(pair => kvBody.pairJson(pair));
		return {header: this.header(), kvs, count: String(kvs.length)};
	}

	#txn(body: kvBody.Body): unknown {
		const succeeded = kvBody.listOf(body, 'compare').every(compare => this.#compare(compare));
		const operations = kvBody.listOf(body, succeeded ? 'success' : 'failure');
		const failure = operations.map(operation => this.#check(operation)).find(found => found !== undefined);
		if (failure) {
			return failure;
		}

		const responses = operations.map(operation => this.#operate(operation));
		return {header: this.header(), ...(succeeded && {succeeded}), responses};
	}

	#compare(compare: kvBody.Body): boolean {
		const pair = this.store.get(kvBody.textOf(compare, 'key') ?? '');
		return (pair?.modRevision ?? 0) === kvBody.numberOf(compare, 'mod_revision');
	}

	#check(operation: kvBody.Body): kvFailure.KvFailure | undefined {
		const put = kvBody.objectOf(operation, 'request_put');
		if (!put) {
			return undefined;
		}

		const lease = kvBody.textOf(put, 'lease') ?? '0';
		if (lease !== '0' && !this.#leases.has(lease)) {
			return kvFailure.leaseFailure;
		}

		const bytes = Buffer.byteLength(kvBody.textOf(put, 'value') ?? '', 'base64');
		return bytes > this.maxValueBytes ? kvFailure.sizeFailure : undefined;
	}

	#operate(operation: kvBody.Body): unknown {
		const put = kvBody.objectOf(operation, 'request_put');
		if (put) {
			const value = kvBody.textOf(put, 'value') ?? '';
			const lease = kvBody.textOf(put, 'lease') ?? '0';
			this.onChange(this.store.put(kvBody.textOf(put, 'key') ?? '', value, lease));
			return {response_put: {header: this.header()}};
		}

		const removal = kvBody.objectOf(operation, 'request_delete_range');
		if (removal) {
			const keys = this.store.range(kvBody.rangeOf(removal)).map(pair => pair.key);
			this.#delete(keys);
			return {response_delete_range: {header: this.header(), deleted: String(keys.length)}};
		}

		return {response_range: this.#range(kvBody.objectOf(operation, 'request_range') ?? {})};
	}

	#grant(body: kvBody.Body): unknown {
		const ttlSeconds = kvBody.numberOf(body, 'TTL');
		const id = this.#leases.grant(ttlSeconds, Date.now());
		return {header: this.header(), ID: id, TTL: String(ttlSeconds)};
	}

	#keepAlive(body: kvBody.Body): unknown {
		const id = kvBody.textOf(body, 'ID') ?? '';
		const ttlSeconds = this.#leases.keepAlive(id, Date.now());
		return {result: {header: this.header(), ID: id, ...(ttlSeconds > 0 && {TTL: String(ttlSeconds)})}};
	}

	#revoke(body: kvBody.Body): unknown {
		const id = kvBody.textOf(body, 'ID') ?? '';
		if (!this.#leases.revoke(id)) {
			return kvFailure.leaseFailure;
		}

		this.#deleteKeysOf(id);
		return {header: this.header()};
	}

	#deleteKeysOf(lease: string): void {
		this.#delete(this.store.keysOfLease(lease));
	}

	#delete(keys: readonly string[]): void {
		for (const key of keys) {
			const change = this.store.delete(key);
			if (change) {
				this.onChange(change);
			}
		}
	}
}
