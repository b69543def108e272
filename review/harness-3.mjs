/* eslint-disable camelcase -- Field names of the platform. */
/* eslint-disable no-await-in-loop -- Steps of a case follow one another. */
// Shared parts of the script cases 11 to 15: gateways as processes, the store stand-in, runners and clients over plain sockets.
import {Buffer} from 'node:buffer';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as standIns from '../packages/stand-ins/dist/index.js';

export const isTroubled = process.env.TROUBLE !== '0';
export const host = 'a.example';
export const key = 'key-club';
const readyPolls = 400;
const pollMs = 50;
const headEnd = '\r\n\r\n';
/** Longest time of a case, in milliseconds. */
const maxCaseMs = 110_000;

// The stand-ins' child processes end with the exit of this process, which a signal would skip.
for (const signal of ['SIGINT', 'SIGTERM']) {
	process.on(signal, () => {
		process.exit(2);
	});
}

export const sleep = async ms => new Promise(resolve => {
	setTimeout(resolve, ms);
});

/** Writes `record.txt` in the folder of the case: what was sent, answered and run. */
export class Record {
	#startedAt = Date.now();
	#file;

	constructor(folder) {
		this.#file = path.join(folder, 'record.txt');
		fs.writeFileSync(this.#file, `TROUBLE=${isTroubled ? 1 : 0}\n`);
	}

	/** Milliseconds since the start of the case. */
	get now() {
		return Date.now() - this.#startedAt;
	}

	write(text) {
		fs.appendFileSync(this.#file, `${String(this.now).padStart(6)} ${text}\n`);
	}
}

/** Creates a route of the configuration, as the operator writes it. */
export function createRoute(name, kind, service, {attempts = 2, timeoutMs = 5000, targetMs = 500, resumable = false} = {}) {
	const isStream = kind === 'streaming';
	return {
		name,
		host,
		prefix: `/${name}/`,
		kind,
		timeout_ms: timeoutMs,
		target_latency_ms: targetMs,
		priority: 0,
		service,
		attempts,
		public: false,
		...(isStream && {sticky: true, resumable, gap_target_ms: 300}),
	};
}

/** Creates `op/config` with a model service `llm` and a plain service `app`. */
export function createConfig(routes, version = 1) {
	return {
		version,
		routes,
		services: [
			{
				name: 'llm', health_path: '/health', connection_limit: 360, engine: {
					slots: 64, kv_capacity_tokens: 208_294, kv_token_bytes: 18_432, link_mbps: 180_000, models: [{name: 'm'}],
				},
			},
			{name: 'app', health_path: '/health', connection_limit: 100},
		],
		limits: {
			header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
		},
		tenants: [{name: 'club', keys: [key], isolated: false}],
	};
}

/** The store, the operator's entries and the gateways; one per case. */
export class Deployment {
	store = new standIns.usersPlatform.UsersStoreStandIn({era: 1});
	gateways = [];
	#folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-3-'));

	async start(config, gatewayCount, furtherSettings = '') {
		const timer = setTimeout(() => {
			this.stop();
			console.error('the case took too long');
			process.exit(2); // eslint-disable-line unicorn/no-process-exit -- The script of a case.
		}, maxCaseMs);
		timer.unref();
		await this.store.start();
		this.store.write('op/config', config);
		this.store.write('op/version/m', {model: 'm', version: 1});
		const network = standIns.soak.platform.chooseNetwork();
		for (let number = 1; number <= gatewayCount; number++) {
			const gateway = new standIns.soak.platform.GatewayProcess({
				name: `gateway-${number}`,
				host: `${network}.${number}`,
				folder: this.#folder,
				root: process.cwd(),
				store: {host: '127.0.0.1', port: this.store.server.port},
				dataCentre: 'zone-a',
				bounds: {...standIns.soak.platform.createBounds(12_000), quota: undefined},
			});
			await gateway.prepare();
			gateway.writeSettings(`limits.memory_mb=350\nlimits.file_descriptors=4100\nheartbeat_ms=1200\n${furtherSettings}`);
			gateway.start();
			this.gateways.push(gateway);
		}

		for (const gateway of this.gateways) {
			await this.awaitReady(gateway);
		}
	}

	async awaitReady(gateway) {
		for (let count = 0; count < readyPolls && !gateway.isInRotation; count++) {
			await gateway.probe();
			await sleep(pollMs);
		}

		if (!gateway.isInRotation) {
			throw new Error(`${gateway.name} is not ready`);
		}
	}

	/** Registers a runner, as it does itself. */
	register(runner, state = 'ready') {
		this.store.write(`servers/${runner.id}`, runner.createEntry(state));
	}

	/** What a gateway has logged. */
	readLog(gateway) {
		return fs.readFileSync(gateway.logFile, 'utf8');
	}

	stop() {
		for (const gateway of this.gateways) {
			gateway.stop();
		}

		this.store.stop(); // The process ends next.
		fs.rmSync(this.#folder, {recursive: true, force: true});
	}
}

/** A message that was read from a connection: its first line, its headers and, of a request, its body. */
function parseHead(text) {
	const [first, ...lines] = text.split('\r\n');
	const headers = Object.fromEntries(lines.map(line => {
		const colon = line.indexOf(':');
		return [line.slice(0, colon).trim().toLowerCase(), line.slice(colon + 1).trim()];
	}));
	return {first, headers};
}

/** A runner over plain sockets; `respond` gets each request and writes the answer. It handles health checks, reports and misdirected requests itself. */
export class Runner {
	#server;
	#sockets = new Set();
	#born = Date.now();
	port = 0;

	constructor({id, service, model, slots = 64, respond, onOrder}) {
		Object.assign(this, {
			id, service, model, slots, respond, onOrder,
		});
	}

	async start() {
		this.#server = net.createServer({noDelay: true}, socket => {
			this.#sockets.add(socket);
			socket.on('error', () => undefined);
			socket.on('close', () => {
				this.#sockets.delete(socket);
			});
			this.#read(socket);
		});
		await new Promise(resolve => {
			this.#server.listen(this.port, '127.0.0.1', resolve);
		});
		this.port = this.#server.address().port;
	}

	createEntry(state) {
		return {
			service: this.service,
			address: `127.0.0.1:${this.port}`,
			zone: 'zone-a',
			version: 'v1',
			slots: this.slots,
			state,
			cold_remaining_ms: 0,
			born: this.#born,
			sequence: 1,
			...(this.model !== undefined && {models: [{name: this.model, version: 1, adapters: []}]}),
		};
	}

	stop() {
		this.#server?.close();
		for (const socket of this.#sockets) {
			socket.destroy();
		}
	}

	#read(socket) {
		let bytes = Buffer.alloc(0);
		let isBusy = false;
		const handle = async () => {
			while (!socket.destroyed) {
				const end = bytes.indexOf(headEnd);
				if (end === -1) {
					return;
				}

				const {first, headers} = parseHead(bytes.subarray(0, end).toString('latin1'));
				const length = Number(headers['content-length'] ?? 0);
				const bodyAt = end + headEnd.length;
				if (bytes.length < bodyAt + length) {
					return;
				}

				const body = bytes.subarray(bodyAt, bodyAt + length);
				bytes = bytes.subarray(bodyAt + length);
				await this.#handle({
					socket, first, headers, body, requestId: headers['bluebellmast-request-id'],
				});
			}
		};

		socket.on('data', async data => {
			bytes = Buffer.concat([bytes, data]);
			if (!isBusy) {
				isBusy = true;
				await handle();
				isBusy = false;
			}
		});
	}

	async #handle(request) {
		const {socket, first, headers} = request;
		const target = first.split(' ')[1];
		const identity = `Bluebellmast-Instance-Id: ${this.id}\r\n`;
		if (headers['bluebellmast-expected-instance'] !== this.id) {
			socket.write(`HTTP/1.1 421 Misdirected Request\r\n${identity}Content-Length: 0\r\n\r\n`);
		} else if (target === '/health') {
			socket.write(`HTTP/1.1 200 OK\r\n${identity}Content-Length: 0\r\n\r\n`);
		} else if (target === '/v1/report') {
			const report = JSON.stringify({
				born: this.#born, stage: 'combined', models: [{name: this.model, version: 1, adapters: []}], busy: false, sequence: 0,
				queue_length: 0, active_requests: 0, kv_used: 0, kv_total: 208_294, handles: 0,
			});
			socket.write(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${report.length}\r\n\r\n${report}`);
		} else {
			await this.respond(request, this);
		}
	}
}

/** Headers of a runner's answer to a request. */
export function createSeal(runner, requestId) {
	return `Bluebellmast-Request-Id: ${requestId}\r\nBluebellmast-Response-Seal: seal-${runner.id}-${requestId}\r\n`;
}

/** A kept connection of a client, which sends one request at a time and reads answers by their framing. */
export class Connection {
	#socket;
	#bytes = Buffer.alloc(0);
	#wake = () => undefined;
	isClosed = false;

	constructor(gateway) {
		this.#socket = net.connect({host: gateway.host, port: gateway.callerPort, noDelay: true});
		this.#socket.on('error', () => undefined);
		this.#socket.on('data', data => {
			this.#bytes = Buffer.concat([this.#bytes, data]);
			this.#wake();
		});
		this.#socket.on('close', () => {
			this.isClosed = true;
			this.#wake();
		});
	}

	/** Bytes that have arrived and belong to no answer that was read. */
	get strayBytes() {
		return this.#bytes.toString('latin1');
	}

	send(text) {
		this.#socket.write(text, 'latin1');
	}

	close() {
		this.#socket.destroy();
	}

	/** Reads one answer. @returns Status 0 if the connection ended without a head; `isComplete` by the answer's own framing. */
	async read(maxMs) {
		const endsAt = Date.now() + maxMs;
		for (;;) {
			const answer = this.#parse();
			if (answer?.isComplete || this.isClosed || Date.now() >= endsAt) {
				this.#bytes = this.#bytes.subarray(answer?.size ?? 0);
				return {
					...(answer ?? {
						status: 0, headers: {}, body: '', isComplete: false,
					}), isTimedOut: !answer?.isComplete && !this.isClosed,
				};
			}

			await this.#wait(endsAt - Date.now());
		}
	}

	async #wait(ms) {
		await new Promise(resolve => {
			const timer = setTimeout(resolve, Math.max(1, ms));
			this.#wake = () => {
				clearTimeout(timer);
				resolve();
			};
		});
	}

	#parse() {
		const end = this.#bytes.indexOf(headEnd);
		if (end === -1) {
			return undefined;
		}

		const {first, headers} = parseHead(this.#bytes.subarray(0, end).toString('latin1'));
		const rest = this.#bytes.subarray(end + headEnd.length);
		const {body, size, isComplete} = headers['transfer-encoding'] === 'chunked' ? readChunks(rest) : readLength(rest, Number(headers['content-length'] ?? 0));
		return {
			status: Number(first.split(' ')[1]), headers, body: body.toString('latin1'), isComplete, size: end + headEnd.length + size,
		};
	}
}

function readLength(bytes, length) {
	return {body: bytes.subarray(0, length), size: Math.min(bytes.length, length), isComplete: bytes.length >= length};
}

function readChunks(bytes) {
	const parts = [];
	let at = 0;
	for (;;) {
		const lineEnd = bytes.indexOf('\r\n', at);
		const size = lineEnd === -1 ? Number.NaN : Number.parseInt(bytes.subarray(at, lineEnd).toString('latin1'), 16);
		const next = lineEnd + 2 + size + 2;
		if (Number.isNaN(size) || bytes.length < next) {
			return {body: Buffer.concat(parts), size: at, isComplete: false};
		}

		if (size === 0) {
			return {body: Buffer.concat(parts), size: next, isComplete: true};
		}

		parts.push(bytes.subarray(lineEnd + 2, lineEnd + 2 + size));
		at = next;
	}
}

/** Returns the ids of the events of a stream that are complete. */
export function listEventIds(body) {
	const events = body.split('\n\n').slice(0, -1);
	return events.map(event => Number(/^id: (\d+)$/m.exec(event)?.[1]));
}

/** Runs a case and exits: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(folder, play) {
	const record = new Record(folder);
	const deployment = new Deployment();
	let exitCode = 2;
	try {
		const isBroken = await play({record, deployment});
		exitCode = isBroken ? 1 : 0;
		record.write(isBroken ? 'RESULT: the rule was broken' : 'RESULT: the rule held');
	} catch (err) {
		record.write(`RESULT: the case could not run: ${err.stack}`);
	} finally {
		deployment.stop();
	}

	process.exit(exitCode); // eslint-disable-line unicorn/no-process-exit -- The script of a case.
}
