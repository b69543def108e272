/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import type * as http from 'node:http';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';
import * as kvBody from './kv-body.js';
import * as kvCall from './kv-call.js';
import * as kvFailure from './kv-failure.js';
import * as kvOperations from './kv-operations.js';
import * as kvWatches from './kv-watches.js';
import * as rateLimiter from './rate-limiter.js';
import * as revisionStore from './revision-store.js';

/** Options of a key-value service stand-in. */
export type KvOptions = fault.StandInOptions & {
	/** Maximum writes per second; default 500. */
	readonly writesPerSecond?: number;
	/** Maximum reads and watches per second; default 2,000. */
	readonly readsPerSecond?: number;
	/** Duration of each call in milliseconds; default 2. */
	readonly latencyMs?: number;
	/** Milliseconds between progress notifications of a watch; default 1,000. */
	readonly progressIntervalMs?: number;
	/** Maximum size of a value in bytes; default 1,048,576. */
	readonly maxValueBytes?: number;
};

const defaultWritesPerSecond = 500;
const defaultReadsPerSecond = 2000;
const defaultLatencyMs = 2;
const defaultProgressIntervalMs = 1000;
const defaultMaxValueBytes = 1_048_576;
const leaseCheckIntervalMs = 50;

/** Stand-in for the platform's key-value service. It implements a part of the etcd v3 JSON gateway protocol. */
export class KvStandIn implements fault.StandIn {
	readonly server: fault.StandInServer;
	readonly #store = new revisionStore.RevisionStore();
	readonly #operations: kvOperations.KvOperations;
	readonly #watches: kvWatches.KvWatches;
	readonly #counts = new Map<kvCall.KvCall, number>();
	readonly #random: util.Random;
	readonly #writeLimiter: rateLimiter.RateLimiter;
	readonly #readLimiter: rateLimiter.RateLimiter;
	readonly #latencyMs: number;
	#leaseTimer: NodeJS.Timeout | undefined;

	constructor(options: KvOptions) {
		this.#random = new util.Random(options.seed ?? 1);
		this.#latencyMs = options.latencyMs ?? defaultLatencyMs;
		this.#writeLimiter = new rateLimiter.RateLimiter(options.writesPerSecond ?? defaultWritesPerSecond, Date.now());
		this.#readLimiter = new rateLimiter.RateLimiter(options.readsPerSecond ?? defaultReadsPerSecond, Date.now());
		this.server = new fault.StandInServer(options, async (req, res) => this.#handle(req, res), {
			counts: () => this.counts(),
			record: () => this.#store.changesFrom(0),
		});
		this.#watches = new kvWatches.KvWatches(
			() => this.#store.revision,
			() => this.server.faults.isFrozen,
			options.progressIntervalMs ?? defaultProgressIntervalMs,
		);
		this.#operations = new kvOperations.KvOperations(
			this.#store,
			options.maxValueBytes ?? defaultMaxValueBytes,
			change => {
				this.#watches.publish(change);
			},
		);
	}

	async start(): Promise<fault.StandInAddresses> {
		this.#leaseTimer = setInterval(() => {
			if (!this.server.faults.isFrozen) {
				this.#operations.expireLeases(Date.now());
			}
		}, leaseCheckIntervalMs);
		this.#leaseTimer.unref();
		return this.server.start();
	}

	async stop(): Promise<void> {
		clearInterval(this.#leaseTimer);
		this.#watches.stop();
		await this.server.stop();
	}

	/** Returns the number of calls by type; a watch counts as one call. */
	counts(): Readonly<Record<string, number>> {
		return Object.fromEntries(this.#counts);
	}

	/** Expires a lease at once and deletes its keys. */
	expireLease(id: string): void {
		this.#operations.expireLease(id);
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const call = kvCall.callsByPath[util.pathOf(req)];
		if (req.method !== 'POST' || call === undefined) {
			util.sendJson(res, 404, {code: 5, message: 'Not Found'});
			return;
		}

		const body = await util.readJson(req) as kvBody.KvBody;
		this.#countCall(call);
		await util.sleep(this.#latencyMs);
		await this.server.faults.waitWhileFrozen();
		if (!this.#tryTakeToken(call)) {
			this.#countCall(kvCall.KvCall.RateLimited);
			kvFailure.sendFailure(res, kvFailure.rateLimitFailure);
			return;
		}

		await this.#respond(call, body, res);
	}

	async #respond(call: kvCall.ProtocolCall, body: kvBody.KvBody, res: http.ServerResponse): Promise<void> {
		if (call === kvCall.KvCall.Watch) {
			this.#openWatch(body, res);
			return;
		}

		if (!kvCall.isRead(call)) {
			await util.sleep(this.server.faults.writeDelayMs);
		}

		const result = this.#operations.execute(call, body);
		await this.server.faults.waitBeforeResponse();
		if (!kvCall.isRead(call) && this.#random.chance(this.server.faults.responseLossProbability)) {
			res.destroy();
			return;
		}

		if (kvFailure.isFailure(result)) {
			kvFailure.sendFailure(res, result);
			return;
		}

		util.sendJson(res, 200, result);
	}

	#openWatch(body: kvBody.KvBody, res: http.ServerResponse): void {
		const request = kvBody.objectOf(body, 'create_request') ?? {};
		const startRevision = kvBody.numberOf(request, 'start_revision');
		if (startRevision > 0 && startRevision < this.#store.oldestRevision) {
			const result = {
				header: this.#operations.createHeader(), created: true, canceled: true, compact_revision: String(this.#store.oldestRevision),
			};
			res.end(`${JSON.stringify({result})}\n`);
			return;
		}

		this.#watches.open(kvBody.rangeOf(request), res, startRevision > 0 ? this.#store.changesFrom(startRevision) : []);
	}

	#tryTakeToken(call: kvCall.ProtocolCall): boolean {
		return (kvCall.isRead(call) ? this.#readLimiter : this.#writeLimiter).tryTake(Date.now());
	}

	#countCall(call: kvCall.KvCall): void {
		this.#counts.set(call, (this.#counts.get(call) ?? 0) + 1);
	}
}

/** Creates a key-value service stand-in. */
export function createKv(options: KvOptions = {}): KvStandIn {
	return new KvStandIn(options);
}
