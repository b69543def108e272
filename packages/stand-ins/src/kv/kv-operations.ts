/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import {Buffer} from 'node:buffer';
import * as kvBody from './kv-body.js';
import * as kvCall from './kv-call.js';
import * as kvFailure from './kv-failure.js';
import * as leaseTable from './lease-table.js';
import type * as revisionStore from './revision-store.js';

/** Executes calls on the store and its leases. */
export class KvOperations {
	readonly #leases = new leaseTable.LeaseTable();

	constructor(
		private readonly store: revisionStore.RevisionStore,
		private readonly maxValueBytes: number,
		private readonly onChange: (change: revisionStore.StoredChange) => void,
	) {}

	/** Executes a call and returns its response or a `KvFailure`. */
	execute(call: Exclude<kvCall.ProtocolCall, kvCall.KvCall.Watch>, body: kvBody.KvBody): unknown {
		switch (call) {
			case kvCall.KvCall.Range: {
				return this.#range(body);
			}

			case kvCall.KvCall.Txn: {
				return this.#txn(body);
			}

			case kvCall.KvCall.LeaseGrant: {
				return this.#grantLease(body);
			}

			case kvCall.KvCall.LeaseKeepAlive: {
				return this.#keepLeaseAlive(body);
			}

			case kvCall.KvCall.LeaseRevoke: {
				return this.#revokeLease(body);
			}
		}
	}

	/** Returns the header that every response contains. */
	createHeader(): unknown {
		return {cluster_id: '1', member_id: '1', revision: String(this.store.revision)};
	}

	/** Expires a lease at once and deletes its keys. */
	expireLease(id: string): void {
		this.#leases.revoke(id);
		this.#deleteKeysOfLease(id);
	}

	/** Removes the expired leases and deletes their keys. */
	expireLeases(now: number): void {
		for (const id of this.#leases.removeExpired(now)) {
			this.#deleteKeysOfLease(id);
		}
	}

	#range(body: kvBody.KvBody): unknown {
		const kvs = this.store.range(kvBody.rangeOf(body)).map(pair => kvBody.pairJson(pair));
		return {header: this.createHeader(), kvs, count: String(kvs.length)};
	}

	#txn(body: kvBody.KvBody): unknown {
		const succeeded = kvBody.listOf(body, 'compare').every(compare => this.#isCompareTrue(compare));
		const operations = kvBody.listOf(body, succeeded ? 'success' : 'failure');
		const failure = operations.map(operation => this.#checkOperation(operation)).find(found => found !== undefined);
		if (failure) {
			return failure;
		}

		const responses = operations.map(operation => this.#executeOperation(operation));
		return {header: this.createHeader(), ...(succeeded && {succeeded}), responses};
	}

	#isCompareTrue(compare: kvBody.KvBody): boolean {
		const pair = this.store.get(kvBody.textOf(compare, 'key') ?? '');
		return (pair?.modRevision ?? 0) === kvBody.numberOf(compare, 'mod_revision');
	}

	#checkOperation(operation: kvBody.KvBody): kvFailure.KvFailure | undefined {
		const put = kvBody.objectOf(operation, 'request_put');
		if (!put) {
			return undefined;
		}

		const lease = kvBody.textOf(put, 'lease') ?? '0';
		if (lease !== '0' && !this.#leases.has(lease)) {
			return kvFailure.leaseNotFoundFailure;
		}

		const bytes = Buffer.byteLength(kvBody.textOf(put, 'value') ?? '', 'base64');
		return bytes > this.maxValueBytes ? kvFailure.valueTooLargeFailure : undefined;
	}

	#executeOperation(operation: kvBody.KvBody): unknown {
		const put = kvBody.objectOf(operation, 'request_put');
		if (put) {
			const value = kvBody.textOf(put, 'value') ?? '';
			const lease = kvBody.textOf(put, 'lease') ?? '0';
			this.onChange(this.store.put(kvBody.textOf(put, 'key') ?? '', value, lease));
			return {response_put: {header: this.createHeader()}};
		}

		const deletion = kvBody.objectOf(operation, 'request_delete_range');
		if (deletion) {
			const keys = this.store.range(kvBody.rangeOf(deletion)).map(pair => pair.key);
			this.#deleteKeys(keys);
			return {response_delete_range: {header: this.createHeader(), deleted: String(keys.length)}};
		}

		return {response_range: this.#range(kvBody.objectOf(operation, 'request_range') ?? {})};
	}

	#grantLease(body: kvBody.KvBody): unknown {
		const ttlSeconds = kvBody.numberOf(body, 'TTL');
		const id = this.#leases.grant(ttlSeconds, Date.now());
		return {header: this.createHeader(), ID: id, TTL: String(ttlSeconds)};
	}

	#keepLeaseAlive(body: kvBody.KvBody): unknown {
		const id = kvBody.textOf(body, 'ID') ?? '';
		const ttlSeconds = this.#leases.keepAlive(id, Date.now());
		return {result: {header: this.createHeader(), ID: id, ...(ttlSeconds > 0 && {TTL: String(ttlSeconds)})}};
	}

	#revokeLease(body: kvBody.KvBody): unknown {
		const id = kvBody.textOf(body, 'ID') ?? '';
		if (!this.#leases.revoke(id)) {
			return kvFailure.leaseNotFoundFailure;
		}

		this.#deleteKeysOfLease(id);
		return {header: this.createHeader()};
	}

	#deleteKeysOfLease(lease: string): void {
		this.#deleteKeys(this.store.keysOfLease(lease));
	}

	#deleteKeys(keys: readonly string[]): void {
		for (const key of keys) {
			const change = this.store.delete(key);
			if (change) {
				this.onChange(change);
			}
		}
	}
}
