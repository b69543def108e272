/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import {Buffer} from 'node:buffer';
import type * as http from 'node:http';
import * as fault from '../fault/index.js';
import * as leaseTable from '../kv/lease-table.js';
import * as revisionStore from '../kv/revision-store.js';
import * as util from '../util/index.js';

type ExpectedRevision = {readonly key: string; readonly revision: number};

type Txn = {
	readonly expected: readonly ExpectedRevision[];
	readonly put: ReadonlyArray<{readonly key: string; readonly value: string; readonly lease?: number}>;
	readonly delete: readonly string[];
};

const millisecondsPerSecond = 1000;
const leaseCheckIntervalMs = 20;
const watchPollIntervalMs = 5;
/** Page size of range reads; small, so that tests cover several pages. */
const itemsPerPage = 3;

/** Interval between copies, in milliseconds. */
const copyIntervalMs = 50;
/** Number of copies that are kept. */
const maxCopies = 400;

/** Options of {@link UsersStoreStandIn}. */
export type UsersStoreOptions = fault.StandInOptions & {
	/** Era at the start; by default responses carry none. */
	readonly era?: number;
};

/** Refusal of all calls of some callers. */
export type StoreRefusal = {
	readonly status: number;
	/** Returns whether the calls on a connection from a port of the caller's are refused. */
	readonly concerns: (port: number) => boolean;
};

/** Contents of the stand-in at one time. */
export type StoreCopy = {
	readonly at: number;
	readonly contents: revisionStore.RevisionStoreCopy;
	readonly leases: leaseTable.LeaseTableCopy;
};

/** Stand-in for the key-value store of the users' platform. It implements a part of the platform's published protocol. */
export class UsersStoreStandIn implements fault.StandIn {
	readonly server: fault.StandInServer;
	/** Method and path of each call, in order of arrival. */
	readonly calls: string[] = [];
	/** Text of the era that responses carry; absent if they carry none. */
	eraText: string | undefined;
	/** Refusals in force. */
	readonly refusals = new Set<StoreRefusal>();
	readonly #store = new revisionStore.RevisionStore();
	readonly #leases = new leaseTable.LeaseTable();
	#compactedRevision = 0;
	#leaseTimer: NodeJS.Timeout | undefined;
	#copyTimer: NodeJS.Timeout | undefined;
	#copies: StoreCopy[] = [];
	#isStopped = false;

	constructor(options: UsersStoreOptions = {}) {
		this.eraText = options.era?.toString();
		this.server = new fault.StandInServer(options, async (req, res) => this.#handle(req, res));
	}

	async start(): Promise<fault.StandInAddresses> {
		this.#leaseTimer = setInterval(() => {
			this.#expireLeases(Date.now());
		}, leaseCheckIntervalMs);
		this.#copyTimer = setInterval(() => {
			this.takeCopy();
		}, copyIntervalMs);
		return this.server.start();
	}

	async stop(): Promise<void> {
		this.#isStopped = true;
		clearInterval(this.#leaseTimer);
		clearInterval(this.#copyTimer);
		await this.server.stop();
	}

	/** Writes a value as JSON, as the operator or an endpoint does. */
	write(key: string, value: unknown): void {
		this.#store.put(toBase64(key), toBase64(JSON.stringify(value)), '0');
	}

	/** Writes text without encoding it as JSON. */
	writeText(key: string, text: string): void {
		this.#store.put(toBase64(key), toBase64(text), '0');
	}

	remove(key: string): void {
		this.#store.delete(toBase64(key));
	}

	/** Returns the text of a key. */
	read(key: string): string | undefined {
		const pair = this.#store.get(toBase64(key));
		return pair && fromBase64(pair.value);
	}

	/** Returns the revision of the last change of a key; 0 when the key does not exist. */
	revisionOf(key: string): number {
		return this.#store.get(toBase64(key))?.modRevision ?? 0;
	}

	/** Discards the history so far: a watch from an earlier revision gets status 410. */
	compactHistory(): void {
		this.#compactedRevision = this.#store.revision;
	}

	/** Expires all leases and deletes their keys. */
	expireAllLeases(): void {
		this.#expireLeases(Infinity);
	}

	/**
	 * Closes the store for a time, and opens it again with the contents that it had some time before: revisions and ids of leases that
	 * were given out since then are given out again, in the next era.
	 *
	 * @param ageMs - Age of the copy when the store closes.
	 * @param awayMs - Time for which the store is closed.
	 */
	async returnFromCopy(ageMs: number, awayMs: number): Promise<void> {
		const closedAt = Date.now();
		await this.returnFrom(this.#copies.findLast(({at}) => at <= closedAt - ageMs) ?? this.#copies[0], awayMs);
	}

	/** Closes the store for a time, and opens it again with the contents of a copy, as {@link UsersStoreStandIn.returnFromCopy} does. */
	async returnFrom(copy: StoreCopy | undefined, awayMs: number): Promise<void> {
		await this.server.applyFault({fault: fault.FaultName.Outage});
		await util.sleep(awayMs);
		if (copy !== undefined) {
			this.#store.restore(copy.contents);
			this.#leases.restore(copy.leases, Date.now());
		}

		this.eraText &&= String(Number(this.eraText) + 1);
		this.#copies = [];
		await this.server.applyFault({fault: fault.FaultName.Clear});
	}

	/** Takes a copy of the contents at once. */
	takeCopy(): StoreCopy {
		const at = Date.now();
		const copy = {at, contents: this.#store.copy(), leases: this.#leases.copy(at)};
		this.#copies.push(copy);
		if (this.#copies.length > maxCopies) {
			this.#copies.shift();
		}

		return copy;
	}

	#findRefusal({socket}: http.IncomingMessage): StoreRefusal | undefined {
		const {remotePort} = socket;
		return [...this.refusals].find(({concerns}) => remotePort !== undefined && concerns(remotePort));
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (this.eraText !== undefined) {
			res.setHeader('Store-Era', this.eraText);
		}

		const url = new URL(req.url ?? '/', 'http://store');
		this.calls.push(`${req.method} ${url.pathname}`);
		const refusal = this.#findRefusal(req);
		if (refusal !== undefined) {
			util.sendJson(res, refusal.status, {});
			return;
		}

		const operation = url.pathname.split('/')[2] ?? '';
		const leaseId = url.pathname.split('/')[3] ?? '';
		switch (operation) {
			case 'kv-key': {
				this.#sendKey(url, res);
				break;
			}

			case 'kv-range': {
				this.#sendRange(url, res);
				break;
			}

			case 'kv-watch': {
				await this.#sendWatchEvents(url, res);
				break;
			}

			case 'kv-txn': {
				await this.#executeTxn(await util.readJson(req) as Txn, res);
				break;
			}

			case 'kv-lease': {
				const {ttl_ms: ttlMs} = await util.readJson(req) as {readonly ttl_ms: number};
				util.sendJson(res, 200, {lease: Number(this.#leases.grant(ttlMs / millisecondsPerSecond, Date.now())), ttl_ms: ttlMs});
				break;
			}

			case 'kv-keep': {
				const ttlSeconds = this.#leases.keepAlive(leaseId, Date.now());
				util.sendJson(res, ttlSeconds === 0 ? 404 : 200, {ttl_ms: ttlSeconds * millisecondsPerSecond});
				break;
			}

			case 'kv-lease-end': {
				this.#leases.revoke(leaseId);
				this.#deleteKeysOfLease(leaseId);
				util.sendJson(res, 200, {});
				break;
			}

			default: {
				util.sendJson(res, 404, {});
			}
		}
	}

	#sendKey(url: URL, res: http.ServerResponse): void {
		const pair = this.#store.get(toBase64(url.searchParams.get('key') ?? ''));
		util.sendJson(res, pair === undefined ? 404 : 200, pair === undefined ? {} : {...toItem(pair), at: this.#store.revision});
	}

	#sendRange(url: URL, res: http.ServerResponse): void {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = url.searchParams.get('after') ?? '';
		const items = this.#store.range({key: '', end: Buffer.from([0]).toString('base64')})
			.map(pair => toItem(pair))
			.filter(item => item.key.startsWith(prefix) && item.key > after);
		util.sendJson(res, 200, {
			items: items.slice(0, itemsPerPage), has_more: items.length > itemsPerPage, at: this.#store.revision,
		});
	}

	async #sendWatchEvents(url: URL, res: http.ServerResponse): Promise<void> {
		const prefix = url.searchParams.get('prefix') ?? '';
		const after = Number(url.searchParams.get('after'));
		const endsAt = Date.now() + Number(url.searchParams.get('wait_ms'));
		if (after < this.#compactedRevision || after > this.#store.revision) {
			util.sendJson(res, 410, {});
			return;
		}

		let events = this.#eventsAfter(prefix, after);
		while (events.length === 0 && Date.now() < endsAt && !this.#isStopped) {
			await util.sleep(watchPollIntervalMs); // eslint-disable-line no-await-in-loop -- Polls for changes.
			events = this.#eventsAfter(prefix, after);
		}

		await this.server.faults.waitWhileFrozen();
		util.sendJson(res, 200, {events, at: this.#store.revision});
	}

	#eventsAfter(prefix: string, after: number): unknown[] {
		return this.#store.changesFrom(after + 1)
			.filter(change => fromBase64(change.key).startsWith(prefix))
			.map(change => change.pair === undefined
				? {key: fromBase64(change.key), revision: change.revision, removed: true}
				: toItem(change.pair));
	}

	async #executeTxn(txn: Txn, res: http.ServerResponse): Promise<void> {
		const areRevisionsCurrent = txn.expected.every(row => (this.#store.get(toBase64(row.key))?.modRevision ?? 0) === row.revision);
		if (!areRevisionsCurrent) {
			const items = txn.expected.map(row => this.#store.get(toBase64(row.key)));
			util.sendJson(res, 412, {items: items.flatMap(pair => pair === undefined ? [] : [toItem(pair)])});
			return;
		}

		if (txn.put.some(put => (put.lease ?? 0) !== 0 && !this.#leases.has(String(put.lease)))) {
			util.sendJson(res, 404, {});
			return;
		}

		for (const put of txn.put) {
			this.#store.put(toBase64(put.key), put.value, String(put.lease ?? 0));
		}

		for (const key of txn.delete) {
			this.#store.delete(toBase64(key));
		}

		if (this.server.faults.responseLossProbability > 0) {
			res.destroy();
			return;
		}

		util.sendJson(res, 200, {revision: this.#store.revision});
	}

	#expireLeases(now: number): void {
		for (const id of this.#leases.removeExpired(now)) {
			this.#deleteKeysOfLease(id);
		}
	}

	#deleteKeysOfLease(id: string): void {
		for (const key of this.#store.keysOfLease(id)) {
			this.#store.delete(key);
		}
	}
}

function toBase64(text: string): string {
	return Buffer.from(text).toString('base64');
}

function fromBase64(text: string): string {
	return Buffer.from(text, 'base64').toString();
}

function toItem(pair: revisionStore.StoredPair): {readonly key: string} & Readonly<Record<string, unknown>> {
	return {
		key: fromBase64(pair.key), value: pair.value, revision: pair.modRevision, created: pair.createRevision, lease: Number(pair.lease),
	};
}
