/* eslint-disable camelcase -- Field names of the platform. */
// A small deployment for the scripts of the review: gateways as processes, the store and the runners in this process.
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import * as gatewayProcess from '../../packages/stand-ins/dist/soak/platform/gateway-process.js';
import * as gatewaySettings from '../../packages/stand-ins/dist/soak/platform/gateway-settings.js';
import * as usersPlatform from '../../packages/stand-ins/dist/users-platform/index.js';

const root = url.fileURLToPath(new URL('../..', import.meta.url));
const versionMs = 12_000;
const probeMs = 100;
const restartMs = 500;

export const hostName = 'review.example';
export const key = 'key-of-the-club';

/** Whether the disruption of the case is left out. */
export const isCalm = process.env.TROUBLE === '0';

export const exitCodes = {held: 0, broken: 1, notRun: 2};

/** Resolves after a time in milliseconds. */
export async function sleep(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

/** The configuration of a small deployment, with the limits that the bench's small sites set. */
export const config = {
	version: 3,
	routes: [
		{
			name: 'plan', host: hostName, prefix: '/plan/', kind: 'streaming', timeout_ms: 12_000, target_latency_ms: 800, priority: 1,
			service: 'llm', attempts: 1, public: false, sticky: true, resumable: false, gap_target_ms: 300,
		},
		{
			name: 'book', host: hostName, prefix: '/book/', kind: 'unsafe', timeout_ms: 1500, target_latency_ms: 193, priority: 2,
			service: 'app', attempts: 1, public: false,
		},
		{
			name: 'look', host: hostName, prefix: '/look/', kind: 'safe', timeout_ms: 1500, target_latency_ms: 193, priority: 2,
			service: 'app', attempts: 2, public: false,
		},
	],
	services: [
		{
			name: 'llm', health_path: '/health', connection_limit: 360, protocol: 'h1', tls: false, engine: {
				slots: 64, kv_capacity_tokens: 208_294, kv_token_bytes: 18_432, link_mbps: 180_000, models: [{name: 'm'}],
			},
		},
		{
			name: 'app', health_path: '/health', connection_limit: 100, protocol: 'h1', tls: false,
		},
	],
	limits: {
		header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000,
	},
	tenants: [{name: 'club', keys: [key], isolated: false}],
};

/** Writes what was sent, answered and run to `record.txt` in the folder of the case. */
export class Record {
	#lines = [];
	#startedAt = Date.now();

	constructor(folder) {
		this.file = path.join(folder, 'record.txt');
	}

	write(text) {
		this.#lines.push(`${String(Date.now() - this.#startedAt).padStart(6)} ms  ${text}`);
	}

	save() {
		fs.writeFileSync(this.file, `${this.#lines.join('\n')}\n`);
	}
}

/** Gateways, store and runners on loopback addresses. */
export class Deployment {
	store = new usersPlatform.UsersStoreStandIn();
	runners = [];
	gateways = [];
	/** Ends of processes that no signal of the test caused, by gateway. */
	ownEnds = new Map();
	#folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
	#isStopped = false;
	/** Ends of the loops that keep the processes running. */
	#lives = [];

	constructor({record, gateways, runners, memoryMb}) {
		this.record = record;
		this.options = {gateways, runners, memoryMb};
	}

	/** Starts everything and waits until all gateways are ready. */
	async start() {
		await this.store.start();
		this.store.write('op/config', config);
		this.store.write('op/version/m', {model: 'm', version: 1});
		for (const options of this.options.runners) {
			await this.#addRunner(options); // eslint-disable-line no-await-in-loop -- One after the other.
		}

		const network = gatewayProcess.chooseNetwork();
		const bounds = gatewaySettings.createBounds(versionMs);
		const {store} = this;
		for (let index = 0; index < this.options.gateways; index++) {
			const gateway = new gatewayProcess.GatewayProcess({
				name: `frontend-${index + 1}`,
				host: `${network}.${index + 1}`,
				folder: this.#folder,
				root,
				store: {
					host: '127.0.0.1',
					get port() {
						return store.server.port;
					},
				},
				dataCentre: 'zone-a',
				bounds,
			});
			await gateway.prepare(); // eslint-disable-line no-await-in-loop -- One after the other.
			gateway.writeSettings(`limits.memory_mb=${this.options.memoryMb}\n`);
			this.gateways.push(gateway);
			this.ownEnds.set(gateway, 0);
			this.#lives.push(this.#keepRunning(gateway));
		}

		for (const gateway of this.gateways) {
			if (!await this.waitUntilReady(gateway)) { // eslint-disable-line no-await-in-loop -- One after the other.
				throw new Error(`${gateway.name} was not ready in time`);
			}
		}
	}

	/** Asks a gateway whether it is ready, until it is. @returns Whether it was in time. */
	async waitUntilReady(gateway, maxMs = 10_000) {
		const endsAt = Date.now() + maxMs;
		while (Date.now() < endsAt) {
			if (gateway.isRunning) {
				await gateway.probe(); // eslint-disable-line no-await-in-loop -- A poll.
				if (gateway.isInRotation) {
					return true;
				}
			}

			await sleep(probeMs); // eslint-disable-line no-await-in-loop -- A poll.
		}

		return false;
	}

	/** Ends all processes and stand-ins, and removes the temporary folder. */
	async stop() {
		this.#isStopped = true;
		for (const gateway of this.gateways) {
			gateway.stop();
		}

		await Promise.all(this.#lives);
		for (const runner of this.runners) {
			await runner.stop(); // eslint-disable-line no-await-in-loop -- One after the other.
		}

		await this.store.stop();
		fs.rmSync(this.#folder, {recursive: true, force: true});
	}

	/** Last lines of a gateway's output that match a pattern. */
	findOutput(gateway, pattern) {
		return fs.readFileSync(gateway.logFile, 'utf8').split('\n').filter(line => pattern.test(line));
	}

	async #addRunner(options) {
		const runner = new usersPlatform.UsersServerStandIn({identifiesRequests: true, keepsPort: false, ...options});
		await runner.start();
		this.runners.push(runner);
		this.store.write(`servers/${options.id}`, runner.createRegistration());
	}

	/** Starts the process of a gateway, and again whenever it has ended, as the platform does. */
	async #keepRunning(gateway) {
		while (!this.#isStopped) {
			gateway.isInRotation = false;
			gateway.start();
			const code = await gateway.waitForExit(); // eslint-disable-line no-await-in-loop -- One life follows another.
			if (this.#isStopped) {
				return;
			}

			this.ownEnds.set(gateway, this.ownEnds.get(gateway) + 1);
			this.record.write(`${gateway.name}: the process has ended by itself (${code === -1 ? 'by a signal that the test did not send' : `code ${code}`})`);
			await sleep(restartMs); // eslint-disable-line no-await-in-loop -- The platform's delay.
		}
	}
}

/**
 * Sends a request and waits for its answer. @returns Its status, and whether it was complete; `status` is absent if the connection ended without one.
 */
export async function send(gateway, {id, path: target, method = 'GET', deadlineMs = 1500, agent = false, headers = {}, body}) {
	return new Promise(resolve => {
		const req = http.request({
			host: gateway.host, port: gateway.callerPort, path: target, method, agent, headers: {
				Host: hostName, 'Bluebellmast-Request-Id': id, 'Bluebellmast-Credential': key, 'Bluebellmast-Deadline-Milliseconds': String(deadlineMs), ...headers,
			},
		}, res => {
			res.resume();
			res.once('close', () => {
				resolve({status: res.statusCode, isComplete: res.complete});
			});
		});
		const timer = setTimeout(() => {
			req.destroy();
		}, deadlineMs + 1000);
		req.once('close', () => {
			clearTimeout(timer);
			resolve({isComplete: false});
		});
		req.once('error', err => {
			resolve({isComplete: false, problem: err.code ?? err.message});
		});
		req.end(body);
	});
}

/** Runs a case and exits with its code; one that can't run exits with 2. */
export async function runCase(folder, options, play) {
	const record = new Record(folder);
	const deployment = new Deployment({record, ...options});
	let code = exitCodes.notRun;
	try {
		await deployment.start();
		code = await play(deployment, record);
	} catch (err) {
		record.write(`the case could not run: ${err.stack}`);
	}

	record.write(['the rule held', 'the rule was broken', 'the case could not run'][code]);
	record.save();
	await deployment.stop();
	process.exit(code); // eslint-disable-line unicorn/no-process-exit -- The result of the script.
}
