/* eslint-disable @typescript-eslint/naming-convention -- Field names of the etcd protocol. */
import * as purify from 'purify-ts';
import * as etcdProtocol from './etcd-protocol.js';
import * as etcdTransport from './etcd-transport.js';
import * as etcdWatch from './etcd-watch.js';
import type * as client from './key-value-client.js';
import * as kvCallType from './kv-call-type.js';
import * as kvError from './kv-error.js';

/** Options of `EtcdClient`. */
export type EtcdClientOptions = {
	/** Base URLs such as `http://10.0.0.1:2379`, in the order in which they are tried. */
	readonly baseUrls: readonly string[];
	/** Timeout of a call in milliseconds, over all base URLs; default 1,000. */
	readonly callTimeoutMs?: number;
	/** Timeout of opening a connection in milliseconds; default 300. */
	readonly connectTimeoutMs?: number;
	/** Milliseconds without any data after which a watch ends; default 5,000. The service must send progress notices more often. */
	readonly watchProgressTimeoutMs?: number;
	/** Called before each call is sent; default none. */
	readonly onCall?: (type: kvCallType.KvCallType) => void;
};

const defaultCallTimeoutMs = 1000;
const defaultConnectTimeoutMs = 300;
const defaultWatchProgressTimeoutMs = 5000;
const millisecondsPerSecond = 1000;

/** Client of a key-value service that implements the etcd v3 JSON gateway protocol. */
export class EtcdClient implements client.KeyValueClient {
	readonly #transport: etcdTransport.EtcdTransport;
	readonly #watchProgressTimeoutMs: number;
	readonly #watches = new Set<client.KvWatch>();
	/** Largest revision in any response so far; 0 before the first. */
	#latestRevision = 0;

	constructor(options: EtcdClientOptions) {
		this.#watchProgressTimeoutMs = options.watchProgressTimeoutMs ?? defaultWatchProgressTimeoutMs;
		this.#transport = new etcdTransport.EtcdTransport({
			baseUrls: options.baseUrls,
			callTimeoutMs: options.callTimeoutMs ?? defaultCallTimeoutMs,
			connectTimeoutMs: options.connectTimeoutMs ?? defaultConnectTimeoutMs,
			onCall(type) {
				options.onCall?.(type);
			},
		});
	}

	async get(key: string): client.KvResult<client.KvEntry | undefined> {
		const response = await this.#range({key: etcdProtocol.encodeBase64(key)});
		return response.map(range => range.kvs?.map(pair => etcdProtocol.toEntry(pair))[0]);
	}

	async getPrefix(prefix: string): client.KvResult<readonly client.KvEntry[]> {
		const response = await this.#range({key: etcdProtocol.encodeBase64(prefix), range_end: etcdProtocol.encodePrefixEnd(prefix)});
		return response.map(range => (range.kvs ?? []).map(pair => etcdProtocol.toEntry(pair)));
	}

	async compareAndSwap(
		key: string,
		expectedRevision: number,
		value: Uint8Array,
		leaseId?: string,
	): client.KvResult<client.KvSwapResult> {
		const put = {key: etcdProtocol.encodeBase64(key), value: etcdProtocol.encodeBase64(value), ...(leaseId && {lease: leaseId})};
		return this.#txn(key, expectedRevision, {requestPut: put});
	}

	async compareAndDelete(key: string, expectedRevision: number): client.KvResult<client.KvSwapResult> {
		return this.#txn(key, expectedRevision, {requestDeleteRange: {key: etcdProtocol.encodeBase64(key)}});
	}

	async grantLease(ttlMs: number): client.KvResult<client.KvLease> {
		const response = await this.#transport.call<etcdProtocol.EtcdLeaseResponse>({
			type: kvCallType.KvCallType.LeaseGrant,
			path: '/v3/lease/grant',
			body: {TTL: String(Math.ceil(ttlMs / millisecondsPerSecond)), ID: '0'},
			isWrite: true,
		});
		return response.chain(lease => toLease(lease));
	}

	async keepLeaseAlive(lease: client.KvLease): client.KvResult<client.KvLease> {
		const response = await this.#transport.call<{result?: etcdProtocol.EtcdLeaseResponse}>({
			type: kvCallType.KvCallType.LeaseKeepAlive,
			path: '/v3/lease/keepalive',
			body: {ID: lease.id},
			isWrite: true,
		});
		return response.chain(line => toLease(line.result ?? {}));
	}

	async revokeLease(lease: client.KvLease): client.KvResult<void> {
		const response = await this.#transport.call<unknown>({
			type: kvCallType.KvCallType.LeaseRevoke,
			path: '/v3/lease/revoke',
			body: {ID: lease.id},
			isWrite: true,
		});
		return response.map(() => undefined);
	}

	/**
	 * Starts after the largest revision that this client has seen, so that no change is missed between an earlier read and
	 * the watch. A client that has seen no revision yet first reads the key to get one.
	 */
	watch(key: string, isPrefix: boolean, listener: client.KvWatchListener): client.KvWatch {
		const watch = new etcdWatch.EtcdWatch(this.#transport, {
			onChange(change) {
				listener.onChange(change);
			},
			onEnd: reason => {
				this.#watches.delete(watch);
				listener.onEnd(reason);
			},
		}, this.#watchProgressTimeoutMs, revision => {
			this.#recordRevision(revision);
		});
		this.#watches.add(watch);
		void watch.run(this.#resolveWatchTarget(key, isPrefix));
		return watch;
	}

	/** Ends all watches without calling `onEnd` and closes all connections. */
	async close(): Promise<void> {
		for (const watch of this.#watches) {
			watch.close();
		}

		this.#watches.clear();
		await this.#transport.close();
	}

	async #resolveWatchTarget(key: string, isPrefix: boolean): Promise<etcdWatch.EtcdWatchTarget> {
		if (this.#latestRevision === 0) {
			const response = await this.get(key);
			response.ifLeft(err => {
				throw new Error(err.message);
			});
		}

		return {key, isPrefix, startRevision: this.#latestRevision + 1};
	}

	async #range(body: {key: string; range_end?: string}): client.KvResult<etcdProtocol.EtcdRangeResponse> {
		const response = await this.#transport.call<etcdProtocol.EtcdRangeResponse>({
			type: kvCallType.KvCallType.Range, path: '/v3/kv/range', body, isWrite: false,
		});
		response.ifRight(range => {
			this.#recordRevision(Number(range.header?.revision ?? 0));
		});
		return response;
	}

	async #txn(key: string, expectedRevision: number, operation: unknown): client.KvResult<client.KvSwapResult> {
		const encodedKey = etcdProtocol.encodeBase64(key);
		const response = await this.#transport.call<etcdProtocol.EtcdTxnResponse>({
			type: kvCallType.KvCallType.Txn,
			path: '/v3/kv/txn',
			body: {
				compare: [{
					key: encodedKey, target: 'MOD', result: 'EQUAL', modRevision: String(expectedRevision),
				}],
				success: [operation],
				failure: [{requestRange: {key: encodedKey}}],
			},
			isWrite: true,
		});
		return response.map(txn => {
			const revision = Number(txn.header?.revision ?? 0);
			this.#recordRevision(revision);
			const pair = txn.responses?.[0]?.response_range?.kvs?.[0];
			return {swapped: txn.succeeded ?? false, revision, ...(pair && {current: etcdProtocol.toEntry(pair)})};
		});
	}

	#recordRevision(revision: number): void {
		this.#latestRevision = Math.max(this.#latestRevision, revision);
	}
}

/** Creates an `EtcdClient`. */
export function createEtcdClient(options: EtcdClientOptions): EtcdClient {
	return new EtcdClient(options);
}

function toLease(response: etcdProtocol.EtcdLeaseResponse): purify.Either<kvError.KvError, client.KvLease> {
	const ttlMs = Number(response.TTL ?? 0) * millisecondsPerSecond;
	if (ttlMs <= 0 || response.ID === undefined) {
		return purify.Left({code: kvError.KvErrorCode.LeaseLost, message: 'the lease has expired or was revoked'});
	}

	return purify.Right({id: response.ID, ttlMs});
}
