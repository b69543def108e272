/* eslint-disable camelcase -- Field names of the protocol. */
/* eslint-disable no-await-in-loop -- Steps follow one another. */
/* eslint-disable no-void -- The work goes on beside this. */
// A stand-in of the platform's metadata store, as far as gateways and the operator use it (PROTOCOL.md, "The platform's metadata store").
import {Buffer} from 'node:buffer';
import * as http from 'node:http';
import * as net from './net.mjs';

const itemsPerPage = 500;
const leaseCheckMs = 20;

export class Store {
	/** Method and path of each call, with its time. */
	calls = [];
	#revision = 1;
	#items = new Map();
	#history = [];
	#leases = new Map();
	#nextLease = 1;
	#waiting = new Set();
	#server;
	#timer;

	async start(host) {
		this.#server = http.createServer((req, res) => {
			void this.#handle(req, res);
		});
		this.#server.keepAliveTimeout = 60_000;
		this.#timer = setInterval(() => {
			this.#expireLeases();
		}, leaseCheckMs);
		this.address = await net.listen(this.#server, host);
	}

	stop() {
		clearInterval(this.#timer);
		this.#server.close();
		this.#server.closeAllConnections();
	}

	/** Writes a value as JSON, as the operator and the runners do. */
	write(key, value) {
		this.#put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
	}

	remove(key) {
		if (this.#items.delete(key)) {
			this.#record({key, revision: ++this.#revision, removed: true});
		}
	}

	/** Returns the text of a key. */
	read(key) {
		const item = this.#items.get(key);
		return item && Buffer.from(item.value, 'base64').toString();
	}

	#put(key, value, lease) {
		const revision = ++this.#revision;
		const item = {
			key, value, revision, created: this.#items.get(key)?.created ?? revision, lease,
		};
		this.#items.set(key, item);
		this.#record(item);
	}

	#record(event) {
		this.#history.push(event);
		for (const wake of this.#waiting) {
			wake();
		}
	}

	#expireLeases() {
		for (const [id, {endsAt}] of this.#leases) {
			if (endsAt <= Date.now()) {
				this.#endLease(id);
			}
		}
	}

	#endLease(id) {
		this.#leases.delete(id);
		const keys = [...this.#items.values()].filter(item => item.lease === id).map(item => item.key);
		for (const key of keys) {
			this.remove(key);
		}
	}

	async #handle(req, res) {
		const url = new URL(req.url, 'http://store');
		const [name, id] = url.pathname.split('/').slice(2);
		this.calls.push({at: Date.now(), call: `${req.method} ${url.pathname}`});
		const body = await net.readBody(req);
		if (body === undefined) {
			return;
		}

		const json = body === '' ? undefined : JSON.parse(body);
		const [status, value] = await this.#execute(name, {id: Number(id), url, json});
		net.sendJson(res, status, value);
	}

	async #execute(name, {id, url, json}) {
		switch (name) {
			case 'kv-key': {
				const item = this.#items.get(url.searchParams.get('key'));
				return item === undefined ? [404, {at: this.#revision}] : [200, {...item, at: this.#revision}];
			}

			case 'kv-range': {
				return [200, this.#range(url.searchParams.get('prefix') ?? '', url.searchParams.get('after') ?? '')];
			}

			case 'kv-watch': {
				return [200, await this.#watch(url.searchParams)];
			}

			case 'kv-txn': {
				return this.#txn(json);
			}

			case 'kv-lease': {
				const lease = this.#nextLease++;
				this.#leases.set(lease, {ttlMs: json.ttl_ms, endsAt: Date.now() + json.ttl_ms});
				return [200, {lease, ttl_ms: json.ttl_ms}];
			}

			case 'kv-keep': {
				const lease = this.#leases.get(id);
				if (lease === undefined) {
					return [404, {}];
				}

				lease.endsAt = Date.now() + lease.ttlMs;
				return [200, {lease: id, ttl_ms: lease.ttlMs}];
			}

			case 'kv-lease-end': {
				const isKnown = this.#leases.has(id);
				this.#endLease(id);
				return [isKnown ? 200 : 404, {}];
			}

			default: {
				return [404, {}];
			}
		}
	}

	#range(prefix, after) {
		const items = [...this.#items.values()].filter(({key}) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1);
		return {items: items.slice(0, itemsPerPage), has_more: items.length > itemsPerPage, at: this.#revision};
	}

	async #watch(query) {
		const prefix = query.get('prefix') ?? '';
		const after = Number(query.get('after'));
		const endsAt = Date.now() + Number(query.get('wait_ms'));
		for (;;) {
			const events = this.#history.filter(({key, revision}) => revision > after && key.startsWith(prefix));
			const leftMs = endsAt - Date.now();
			if (events.length > 0 || leftMs <= 0) {
				return {events, at: this.#revision};
			}

			await this.#change(leftMs);
		}
	}

	async #change(maxMs) {
		return new Promise(resolve => {
			const wake = () => {
				clearTimeout(timer);
				this.#waiting.delete(wake);
				resolve();
			};

			const timer = setTimeout(wake, maxMs);
			this.#waiting.add(wake);
		});
	}

	#txn({expected = [], put = [], delete: deleted = []}) {
		if (expected.some(({key, revision}) => (this.#items.get(key)?.revision ?? 0) !== revision)) {
			return [412, {items: expected.map(({key}) => this.#items.get(key)).filter(Boolean)}];
		}

		if (put.some(({lease = 0}) => lease !== 0 && !this.#leases.has(lease))) {
			return [404, {}];
		}

		for (const {key, value, lease = 0} of put) {
			this.#put(key, value, lease);
		}

		for (const key of deleted) {
			this.remove(key);
		}

		return [200, {revision: this.#revision}];
	}
}
