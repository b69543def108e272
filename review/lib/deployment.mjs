/* eslint-disable camelcase -- Field names of the protocol. */
/* eslint-disable no-await-in-loop -- Steps follow one another. */
// A small deployment on loopback addresses: store, runners of a plain service, gateways, and the operator's configuration.
import * as fs from 'node:fs';
import * as os from 'node:os';
import path from 'node:path';
import process from 'node:process';
import * as gatewayModule from './gateway.mjs';
import * as net from './net.mjs';
import * as runnerModule from './runner.mjs';
import * as storeModule from './store.mjs';

export const hostName = 'booking.example';
export const apiKey = 'key-of-tenant-a';
const heartbeatMs = 1200;
const endTimeoutMs = 2000;

export class Deployment {
	gateways = [];
	runners = [];
	store = new storeModule.Store();
	#folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bluebellmast-review-'));
	#heartbeat;
	#sequence = 0;
	// Addresses that other runs are unlikely to use.
	#network = `127.${64 + (Math.floor(process.pid / 256) % 128)}.${process.pid % 256}`;

	/**
	 * Starts everything, and waits until the gateways are ready.
	 *
	 * @param options - `routes` are rows of the configuration without host and service.
	 */
	async start({gatewayCount, runnerCount, runner: runnerOptions, routes, limits = {}, furtherSettings = {}}) {
		await this.store.start(`${this.#network}.1`);
		for (let number = 1; number <= runnerCount; number++) {
			const runner = new runnerModule.Runner({
				id: `i-${number}`, service: 'service-a', zone: 'zone-a', ...runnerOptions,
			});
			await runner.start(`${this.#network}.${100 + number}`);
			runner.onStarted = () => {
				this.#writeEntries([runner]);
			};

			this.runners.push(runner);
		}

		this.#writeEntries();
		this.#heartbeat = setInterval(() => {
			this.#writeEntries();
		}, heartbeatMs);
		this.store.write('op/config', createConfig(routes, limits, runnerOptions.model));
		// The same on all machines, as the platform has it.
		const internalPorts = await gatewayModule.findFreePorts(2, `${this.#network}.11`);
		for (let number = 1; number <= gatewayCount; number++) {
			const gateway = new gatewayModule.Gateway({
				name: `frontend-${number}`,
				host: `${this.#network}.${10 + number}`,
				zone: 'zone-a',
				folder: this.#folder,
				storeAddress: this.store.address,
				internalPorts,
				further: furtherSettings,
			});
			await gateway.prepare();
			this.gateways.push(gateway);
			gateway.start();
		}

		await Promise.all(this.gateways.map(async gateway => gateway.waitUntilReady()));
	}

	/** Ends all processes and removes the temporary folder. */
	async stop() {
		clearInterval(this.#heartbeat);
		for (const gateway of this.gateways) {
			gateway.signal('SIGKILL');
		}

		const endsAt = Date.now() + endTimeoutMs;
		while (this.gateways.some(gateway => gateway.isRunning) && Date.now() < endsAt) {
			await net.sleep(20);
		}

		for (const runner of this.runners) {
			runner.stop();
		}

		this.store.stop();
		fs.rmSync(this.#folder, {recursive: true, force: true});
	}

	#writeEntries(runners = this.runners) {
		this.#sequence += 1;
		for (const runner of runners) {
			const entry = runner.createEntry(this.#sequence);
			if (entry !== undefined) {
				this.store.write(`servers/${runner.id}`, entry);
			}
		}
	}
}

function createConfig(routes, limits, model) {
	return {
		version: 3,
		routes: routes.map(route => ({
			host: hostName, service: 'service-a', priority: 2, attempts: 1, public: false, target_latency_ms: 500, ...route,
		})),
		services: [{
			name: 'service-a',
			health_path: '/health',
			connection_limit: 360,
			protocol: 'h1',
			tls: false,
			...(model !== undefined && {
				engine: {
					slots: 64, kv_capacity_tokens: 155_165, kv_token_bytes: 327_680, link_mbps: 550_000, concurrency_limit: 12, models: [{name: model}],
				},
			}),
		}],
		limits: {
			header_bytes: 16_384, body_bytes: 4_194_304, header_timeout_ms: 3000, idle_timeout_ms: 15_000, ...limits,
		},
		tenants: [{name: 'tenant-a', keys: [apiKey], isolated: false}],
	};
}
