/* eslint-disable camelcase -- Field names of the protocol. */
/* eslint-disable no-await-in-loop -- Steps follow one another. */
// The deployed program as a process, started with the command of the deploy file.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as nodeNet from 'node:net';
import path from 'node:path';
import process from 'node:process';
import * as net from './net.mjs';

export const root = path.resolve(import.meta.dirname, '..', '..');
const readyTimeoutMs = 15_000;

/** Finds ports that are free on a loopback address. */
export async function findFreePorts(count, host) {
	const servers = Array.from({length: count}, () => nodeNet.createServer());
	const addresses = await Promise.all(servers.map(async server => net.listen(server, host)));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return addresses.map(address => Number(address.split(':')[1]));
}

export class Gateway {
	/** How each process has ended: `code` or `signal`. */
	ends = [];
	#child;
	#settings;

	/** @param options - `further` holds settings that replace the usual ones. */
	constructor({name, host, zone, folder, storeAddress, internalPorts, further = {}}) {
		Object.assign(this, {
			name, host, zone, folder, storeAddress, internalPorts, further,
		});
	}

	get pid() {
		return this.#child?.pid;
	}

	get isRunning() {
		return this.#child !== undefined && this.#child.exitCode === null && this.#child.signalCode === null;
	}

	async prepare() {
		const [port, readyPort, metricsPort] = await findFreePorts(3, this.host);
		Object.assign(this, {port, readyPort, metricsPort});
		this.#settings = path.join(this.folder, `${this.name}.conf`);
		const values = {
			node_name: this.name,
			role: 'gateway',
			machine_class: 'frontend',
			serves: 'frontend',
			ip_address: this.host,
			zone: this.zone,
			region: 'region-a',
			'listen.frontend': `${this.host}:${port}`,
			'listen.ready': `${this.host}:${readyPort}`,
			internal_ports: this.internalPorts.join(','),
			bootstrap: true,
			'limits.cpu_share': 0.675,
			'limits.cores': 1,
			'limits.memory_mb': 200,
			'limits.file_descriptors': 4100,
			heartbeat_ms: 1200,
			'bounds.settle_window_ms': 3000,
			'bounds.drain_ms': 2000,
			'bounds.grace_s': 8,
			'bounds.loss_slack_ms': 200,
			'bounds.config_propagation_ms': 2000,
			'bounds.rollback_slack_ms': 250,
			'bounds.outer_bound_ms': 5000,
			'bounds.strict_revocation': true,
			'bounds.revocation_ms': 5000,
			'bounds.budget_ratio': 0.2,
			'bounds.budget_window_s': 10,
			'bounds.budget_slack': 52,
			'bounds.recovery_s': 12,
			'bounds.require_fencing': true,
			'bounds.lease_ms': 3000,
			'bounds.thaw_ms': 300,
			'bounds.version_ms': 6000,
			'bounds.version_all_ms': 8400,
			'platform.address': this.storeAddress,
			'platform.form': 'kv',
			...this.further,
		};
		fs.writeFileSync(this.#settings, Object.entries(values).map(([field, value]) => `${field}=${value}\n`).join(''));
	}

	start() {
		const [, command] = /^run = "(.+)"$/m.exec(fs.readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8'));
		const [, ...words] = command.replace(/--metrics \d+/, `--metrics ${this.metricsPort}`).split(' ');
		const log = fs.openSync(path.join(this.folder, `${this.name}.log`), 'a');
		const child = childProcess.spawn(process.execPath, words, {
			cwd: root, stdio: ['ignore', log, log], env: {PATH: process.env.PATH, HOME: process.env.HOME, BLUEBELLMAST_NODE_FILE: this.#settings},
		});
		fs.closeSync(log);
		this.#child = child;
		child.once('exit', (code, signal) => {
			this.ends.push({at: Date.now(), code, signal});
		});
	}

	signal(name) {
		this.#child?.kill(name);
	}

	/** Asks once for readiness, as the platform does. */
	async isReady() {
		return new Promise(resolve => {
			const req = http.get({
				host: this.host, port: this.readyPort, path: '/v1/readiness', agent: false, timeout: 500,
			}, res => {
				res.resume();
				resolve(res.statusCode === 200);
			});
			req.on('timeout', () => {
				req.destroy();
			});
			req.on('error', () => {
				resolve(false);
			});
		});
	}

	async waitUntilReady() {
		const endsAt = Date.now() + readyTimeoutMs;
		while (!await this.isReady()) {
			if (Date.now() > endsAt) {
				throw new Error(`${this.name} isn't ready after ${readyTimeoutMs} ms`);
			}

			await net.sleep(100);
		}
	}

	/** Returns what the processes wrote on standard output and standard error. */
	readLog() {
		return fs.readFileSync(path.join(this.folder, `${this.name}.log`), 'utf8');
	}

	/** Returns the resident memory of the process in MB; `undefined` if it has ended. */
	readMemoryMb() {
		try {
			const [, kilobytes] = /^VmRSS:\s+(\d+) kB$/m.exec(fs.readFileSync(`/proc/${this.pid}/status`, 'utf8'));
			return Number(kilobytes) / 1024;
		} catch {
			// The process has ended.
			return undefined;
		}
	}
}
