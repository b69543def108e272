/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import {Buffer} from 'node:buffer';
import type * as http from 'node:http';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';
import * as kvBody from './kv-body.js';
import * as kvWatches from './kv-watches.js';
import * as leaseTable from './lease-table.js';
import * as rateLimiter from './rate-limiter.js';
import * as revisionStore from './revision-store.js';

/** Options of the key-value service stand-in. */
export type KvOptions = fault.StandInOptions & {
	/** Writes that are taken a second; default 500. */
	readonly writesPerSecond?: number;
	/** Reads and watches that are taken a second; default 2,000. */
	readonly readsPerSecond?: number;
	/** Milliseconds that each call takes; default 2. */
	readonly latencyMs?: number;
	/** Milliseconds between progress notices of a watch; default 1,000. */
	readonly progressMs?: number;
	/** Bytes that a value may have; default 1,048,576. */
	readonly maxValueBytes?: number;
};

/** Type of a call, as counted. */
export enum KvCall {
	Range = 'range',
	Txn = 'txn',
	LeaseGrant = 'lease_grant',
	LeaseKeepAlive = 'lease_keep_alive',
	LeaseRevoke = 'lease_revoke',
	Watch = 'watch',
	/** Refused for the rate; also counted under its own type. */
	RateLimited = 'rate_limited',
}

/** A call that the protocol has. */
type ProtocolCall = Exclude<KvCall, KvCall.RateLimited>;

type Failure = {readonly status: number; readonly code: number; readonly message: string};

const defaultWritesPerSecond = 500;
const defaultReadsPerSecond = 2000;
const defaultLatencyMs = 2;
const defaultProgressMs = 1000;
const defaultMaxValueBytes = 1_048_576;
const leaseCheckMs = 50;

const callsByPath: Readonly<Record<string, ProtocolCall>> = {
	'/v3/kv/range': KvCall.Range,
	'/v3/kv/txn': KvCall.Txn,
	'/v3/lease/grant': KvCall.LeaseGrant,
	'/v3/lease/keepalive': KvCall.LeaseKeepAlive,
	'/v3/lease/revoke': KvCall.LeaseRevoke,
	'/v3/watch': KvCall.Watch,
};
const reads: ReadonlySet<ProtocolCall> = new Set([KvCall.Range, KvCall.Watch]);
const rateFailure: Failure = {status: 429, code: 8, message: 'etcdserver: too many requests'};
const leaseFailure: Failure = {status: 404, code: 5, message: 'etcdserver: requested lease not found'};
const sizeFailure: Failure = {status: 400, code: 3, message: 'etcdserver: request is too large'};

/** The platform's key-value service, over a part of the etcd v3 JSON gateway protocol. */
export class KvStandIn implements fault.StandIn {
	readonly server: fault.StandInServer;
	readonly #store = new revisionStore.RevisionStore();
	readonly #leases = new leaseTable.LeaseTable();
	readonly #watches: kvWatches.KvWatches;
	readonly #counts = new Map<KvCall, number>();
	readonly #random: util.Random;
	readonly #writeRate: rateLimiter.RateLimiter;
	readonly #readRate: rateLimiter.RateLimiter;
	readonly #latencyMs: number;
	readonly #maxValueBytes: number;
	#leaseTimer: NodeJS.Timeout | undefined;

	constructor(options: KvOptions) {
		this.#random = new util.Random(options.seed ?? 1);
		this.#latencyMs = options.latencyMs ?? defaultLatencyMs;
		this.#maxValueBytes = options.maxValueBytes ?? defaultMaxValueBytes;
		this.#writeRate = new rateLimiter.RateLimiter(options.writesPerSecond ?? defaultWritesPerSecond, Date.now());
		this.#readRate = new rateLimiter.RateLimiter(options.readsPerSecond ?? defaultReadsPerSecond, Date.now());
		this.server = new fault.StandInServer(options, async (req, res) => this.#handle(req, res), {
			counts: () => this.counts(),
			record: () => this.#store.changesFrom(0),
		});
		this.#watches = new kvWatches.KvWatches(
			() => this.#store.revision,
			() => this.server.faults.frozen,
			options.progressMs ?? defaultProgressMs,
		);
	}

	async start(): Promise<fault.StandInAddresses> {
		this.#leaseTimer = setInterval(() => {
			this.#expireLeases();
		}, leaseCheckMs);
		this.#leaseTimer.unref();
		return this.server.start();
	}

	async stop(): Promise<void> {
		clearInterval(this.#leaseTimer);
		this.#watches.stop();
		await this.server.stop();
	}

	/** Returns the number of calls by type; a watch counts once. */
	counts(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#counts);
	}

	/** Ends a lease at once, as if it had lapsed. */
	expireLease(id: string): void {
		this.#leases.revoke(id);
		this.#deleteKeysOf(id);
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const call = callsByPath[util.pathOf(req)];
		if (req.method !== 'POST' || call === undefined) {
			util.sendJson(res, 404, {code: 5, message: 'Not Found'});
			return;
		}

		const body = await util.readJson(req) as kvBody.Body;
		this.#count(call);
		await util.sleep(this.#latencyMs);
		await this.server.faults.whenThawed();
		if (!this.#takeRate(call)) {
			this.#count(KvCall.RateLimited);
			sendFailure(res, rateFailure);
			return;
		}

		await this.#answer(call, body, res);
	}

	async #answer(call: ProtocolCall, body: kvBody.Body, res: http.ServerResponse): Promise<void> {
		if (call === KvCall.Watch) {
			this.#watch(body, res);
			return;
		}

		const result = this.#carryOut(call, body);
		await this.server.faults.beforeAnswer();
		if (!reads.has(call) && this.#random.chance(this.server.faults.loseAnswersProbability)) {
			res.destroy();
			return;
		}

		if (isFailure(result)) {
			sendFailure(res, result);
			return;
		}

		util.sendJson(res, 200, result);
	}

	#carryOut(call: Exclude<ProtocolCall, KvCall.Watch>, body: kvBody.Body): unknown {
		switch (call) {
			case KvCall.Range: {
				return this.#range(body);
			}

			case KvCall.Txn: {
				return this.#txn(body);
			}

			case KvCall.LeaseGrant: {
				return this.#grant(body);
			}

			case KvCall.LeaseKeepAlive: {
				return this.#keepAlive(body);
			}

			case KvCall.LeaseRevoke: {
				return this.#revoke(body);
			}
		}
	}

	#range(body: kvBody.Body): unknown {
		const kvs = this.#store.range(kvBody.rangeOf(body)).map(pair => kvBody.pairJson(pair));
		return {header: this.#header(), kvs, count: String(kvs.length)};
	}

	#txn(body: kvBody.Body): unknown {
		const succeeded = kvBody.listOf(body, 'compare').every(compare => this.#compare(compare));
		const operations = kvBody.listOf(body, succeeded ? 'success' : 'failure');
		const failure = operations.map(operation => this.#check(operation)).find(found => found !== undefined);
		if (failure) {
			return failure;
		}

		const responses = operations.map(operation => this.#operate(operation));
		return {header: this.#header(), ...(succeeded && {succeeded}), responses};
	}

	#compare(compare: kvBody.Body): boolean {
		const pair = this.#store.get(kvBody.textOf(compare, 'key') ?? '');
		return (pair?.modRevision ?? 0) === kvBody.numberOf(compare, 'mod_revision');
	}

	#check(operation: kvBody.Body): Failure | undefined {
		const put = kvBody.objectOf(operation, 'request_put');
		if (!put) {
			return undefined;
		}

		const lease = kvBody.textOf(put, 'lease') ?? '0';
		if (lease !== '0' && !this.#leases.has(lease)) {
			return leaseFailure;
		}

		const bytes = Buffer.byteLength(kvBody.textOf(put, 'value') ?? '', 'base64');
		return bytes > this.#maxValueBytes ? sizeFailure : undefined;
	}

	#operate(operation: kvBody.Body): unknown {
		const put = kvBody.objectOf(operation, 'request_put');
		if (put) {
			const value = kvBody.textOf(put, 'value') ?? '';
			const lease = kvBody.textOf(put, 'lease') ?? '0';
			this.#watches.publish(this.#store.put(kvBody.textOf(put, 'key') ?? '', value, lease));
			return {response_put: {header: this.#header()}};
		}

		const removal = kvBody.objectOf(operation, 'request_delete_range');
		if (removal) {
			const keys = this.#store.range(kvBody.rangeOf(removal)).map(pair => pair.key);
			this.#delete(keys);
			return {response_delete_range: {header: this.#header(), deleted: String(keys.length)}};
		}

		return {response_range: this.#range(kvBody.objectOf(operation, 'request_range') ?? {})};
	}

	#grant(body: kvBody.Body): unknown {
		const ttlSeconds = kvBody.numberOf(body, 'TTL');
		const id = this.#leases.grant(ttlSeconds, Date.now());
		return {header: this.#header(), ID: id, TTL: String(ttlSeconds)};
	}

	#keepAlive(body: kvBody.Body): unknown {
		const id = kvBody.textOf(body, 'ID') ?? '';
		const ttlSeconds = this.#leases.keepAlive(id, Date.now());
		return {result: {header: this.#header(), ID: id, ...(ttlSeconds > 0 && {TTL: String(ttlSeconds)})}};
	}

	#revoke(body: kvBody.Body): unknown {
		const id = kvBody.textOf(body, 'ID') ?? '';
		if (!this.#leases.revoke(id)) {
			return leaseFailure;
		}

		this.#deleteKeysOf(id);
		return {header: this.#header()};
	}

	#watch(body: kvBody.Body, res: http.ServerResponse): void {
		const request = kvBody.objectOf(body, 'create_request') ?? {};
		const start = kvBody.numberOf(request, 'start_revision');
		if (start > 0 && start < this.#store.oldestRevision) {
			const result = {
				header: this.#header(), created: true, canceled: true, compact_revision: String(this.#store.oldestRevision),
			};
			res.end(`${JSON.stringify({result})}\n`);
			return;
		}

		this.#watches.open(kvBody.rangeOf(request), res, start > 0 ? this.#store.changesFrom(start) : []);
	}

	#expireLeases(): void {
		if (this.server.faults.frozen) {
			return;
		}

		for (const id of this.#leases.expire(Date.now())) {
			this.#deleteKeysOf(id);
		}
	}

	#deleteKeysOf(lease: string): void {
		this.#delete(this.#store.keysOfLease(lease));
	}

	#delete(keys: readonly string[]): void {
		for (const key of keys) {
			const change = this.#store.delete(key);
			if (change) {
				this.#watches.publish(change);
			}
		}
	}

	#takeRate(call: ProtocolCall): boolean {
		return (reads.has(call) ? this.#readRate : this.#writeRate).take(Date.now());
	}

	#count(call: KvCall): void {
		this.#counts.set(call, (this.#counts.get(call) ?? 0) + 1);
	}

	#header(): unknown {
		return {cluster_id: '1', member_id: '1', revision: String(this.#store.revision)};
	}
}

/** Creates a key-value service stand-in. */
export function createKv(options: KvOptions = {}): KvStandIn {
	return new KvStandIn(options);
}

function isFailure(result: unknown): result is Failure {
	return typeof result === 'object' && result !== null && 'status' in result;
}

function sendFailure(res: http.ServerResponse, failure: Failure): void {
	util.sendJson(res, failure.status, {error: failure.message, code: failure.code, message: failure.message});
}
