import * as fs from 'node:fs';
import * as path from 'node:path';
import process from 'node:process';
import * as url from 'node:url';
import * as undici from 'undici';
import * as yaml from 'yaml';
import type * as check from '../check/index.js';
import type * as engine from '../engine/index.js';
import type * as fault from '../fault/index.js';
import type * as load from '../load/index.js';
import type * as plainService from '../plain-service/index.js';
import * as util from '../util/index.js';
import * as deploymentOptions from './deployment-options.js';
import * as manifestFile from './manifest-file.js';
import * as routerSettings from './router-settings.js';

/** A stand-in that runs as a child process. */
export type RunningStandIn = fault.StandInAddresses & {
	readonly name: string;
	child: util.ChildProcess;
};

/** A router that runs as a child process. */
export type RunningRouter = routerSettings.RouterAddress & {
	readonly url: string;
	child: util.ChildProcess;
};

const host = '127.0.0.1';
const dataCentres = ['nl-noord-1', 'nl-noord-2', 'nl-noord-3'];
const packagesFolder = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../..');
const readyTimeoutMs = 20_000;
const readyPollMs = 50;

/** Deployment of routers and stand-ins as child processes on this machine. */
export class LocalDeployment {
	readonly routers: RunningRouter[] = [];
	readonly engines: RunningStandIn[] = [];
	readonly runners: RunningStandIn[] = [];
	readonly accounts: readonly load.LoadAccount[];
	readonly #settings: deploymentOptions.DeploymentSettings;
	readonly #children = new Set<util.ChildProcess>();
	#kv: RunningStandIn | undefined;
	#vmList: RunningStandIn | undefined;
	#weightStore: RunningStandIn | undefined;
	#cacheStore: RunningStandIn | undefined;

	constructor(options: deploymentOptions.DeploymentOptions) {
		this.#settings = deploymentOptions.fillDefaults(options);
		this.accounts = Array.from({length: this.#settings.accounts}, (_, index) => ({
			id: `account-${index + 1}`, key: `key-${this.#settings.seed}-${index + 1}`,
		}));
		process.once('exit', () => {
			this.#killAll();
		});
		for (const signal of ['SIGINT', 'SIGTERM']) {
			process.once(signal, () => {
				this.#killAll();
			});
		}
	}

	/** The key-value service. */
	get kv(): RunningStandIn {
		return this.#kv!;
	}

	/** Base URL of the key-value service. */
	get kvUrl(): string {
		return `http://${host}:${this.kv.port}`;
	}

	/** Base URLs of the routers. */
	get routerUrls(): string[] {
		return this.routers.map(router => router.url);
	}

	/** Starts all stand-ins, applies the manifest, and starts all routers. */
	async start(): Promise<void> {
		await this.#startStandIns();
		const manifest = this.writeManifest('manifest.yaml', this.#settings.initialVersions.slice(0, 1));
		await this.runCtl('apply', '--kv', this.kvUrl, manifest);
		await this.#startRouters();
	}

	/** Kills all child processes and waits for their exit. */
	async stop(): Promise<void> {
		this.#killAll();
		await Promise.all([...this.#children].map(async child => child.exited));
	}

	/** Runs `bluebellmastctl`; rejects when its exit code is not 0. */
	async runCtl(...args: string[]): Promise<void> {
		const code = await this.tryRunCtl(...args);
		if (code !== 0) {
			throw new Error(`bluebellmastctl ${args.join(' ')} exited with code ${code}; see ${this.#settings.folder}`);
		}
	}

	/** Runs `bluebellmastctl` and returns its exit code. */
	async tryRunCtl(...args: string[]): Promise<number> {
		return util.runChildProcess(this.#childOptions('bluebellmastctl', path.join(packagesFolder, 'ctl/dist/main.js'), args));
	}

	/** Returns a finding for each router that has exited. */
	findExitedRouters(): string[] {
		return this.routers.filter(router => !router.child.isRunning).map(router => `${router.vm} has exited`);
	}

	/** Returns the log lines that report a broken invariant, with their file names. */
	findBrokenInvariants(): string[] {
		const files = fs.readdirSync(this.#settings.folder).filter(file => file.endsWith('.log'));
		return files.flatMap(file => fs.readFileSync(this.#filePath(file), 'utf8')
			.split('\n')
			.filter(line => /invariant \S+ broken/.test(line))
			.map(line => `${file}: ${line.trim()}`));
	}

	/** Writes a manifest file that allows the given model versions, and returns its path. */
	writeManifest(name: string, versions: readonly string[]): string {
		return this.#writeYaml(name, manifestFile.createManifest({
			host,
			versions,
			accounts: this.accounts,
			engines: this.engines.map((standIn, index) => toEndpointAddress(standIn, index)),
			runners: this.runners.map((standIn, index) => toEndpointAddress(standIn, index)),
			cacheStore: toEndpointAddress(this.#cacheStore!, 0),
		}));
	}

	/** Restarts a router on its previous ports and waits until it is ready. */
	async restartRouter(router: RunningRouter): Promise<void> {
		router.child = this.#startChild(router.vm, path.join(packagesFolder, 'router/dist/main.js'), [
			'--settings', this.#filePath(`${router.vm}.yaml`),
		]);
		await this.#waitUntilReady(router);
	}

	/** Restarts an engine on its previous ports, with an empty cache. */
	async restartEngine(standIn: RunningStandIn): Promise<void> {
		standIn.child = await this.#restartStandIn('engine', standIn, this.#engineArgs(standIn.name, this.#settings.restartVersions));
	}

	/** Restarts a runner on its previous ports. */
	async restartRunner(standIn: RunningStandIn): Promise<void> {
		standIn.child = await this.#restartStandIn('plain-service', standIn, this.#runnerArgs(standIn.name));
	}

	/** Applies a fault to a stand-in through its fault port. */
	async applyFault(standIn: RunningStandIn, request: fault.FaultRequest): Promise<void> {
		const res = await undici.request(`http://${host}:${standIn.faultPort}/fault`, {
			method: 'POST', body: JSON.stringify(request),
		});
		await res.body.dump();
	}

	/** Returns the executions of all runners, including those before a crash. */
	executions(): plainService.Execution[] {
		return this.runners.flatMap(standIn => this.#readRecords(standIn) as plainService.Execution[]);
	}

	/** Returns the records of all engines, including those before a crash. */
	engineRecords(): engine.EngineRecord[] {
		return this.engines.flatMap(standIn => this.#readRecords(standIn) as engine.EngineRecord[]);
	}

	/** Returns the requests that engines started and runners executed, with their arrival times. */
	arrivals(): check.Arrival[] {
		return [
			...this.engineRecords().map(record => ({endpoint: record.engine, at: record.arrivedAt, request: record.requestId})),
			...this.executions().map(execution => ({endpoint: execution.runner, at: execution.arrivedAt, request: execution.requestId})),
		];
	}

	/** Returns the number of calls to the key-value service by type. */
	async kvCounts(): Promise<Record<string, number>> {
		const res = await undici.request(`http://${host}:${this.kv.faultPort}/counts`);
		return await res.body.json() as Record<string, number>;
	}

	#killAll(): void {
		for (const child of this.#children) {
			if (child.isRunning) {
				child.kill();
			}
		}
	}

	async #startStandIns(): Promise<void> {
		const {engines, runners, weightLoadMs, kvArgs} = this.#settings;
		this.#kv = await this.#startStandIn('kv', 'kv', kvArgs);
		this.#vmList = await this.#startStandIn('vm-list', 'vm-list', []);
		this.#weightStore = await this.#startStandIn('weight-store', 'weight-store', ['--load-ms', String(weightLoadMs)]);
		this.#cacheStore = await this.#startStandIn('cache-store', 'cache-store', []);
		for (let index = 1; index <= engines; index++) {
			const name = `engine-${index}`;
			const args = this.#engineArgs(name, this.#settings.initialVersions);
			this.engines.push(await this.#startStandIn('engine', name, args)); // eslint-disable-line no-await-in-loop
		}

		for (let index = 1; index <= runners; index++) {
			const name = `runner-${index}`;
			this.runners.push(await this.#startStandIn('plain-service', name, this.#runnerArgs(name))); // eslint-disable-line no-await-in-loop
		}
	}

	async #startRouters(): Promise<void> {
		const ports = await util.findFreePorts(this.#settings.routers * 2);
		const addresses = Array.from({length: this.#settings.routers}, (_, index): routerSettings.RouterAddress => ({
			vm: `router-${index + 1}`,
			dataCentre: dataCentres[index % dataCentres.length]!,
			port: ports[index * 2]!,
			peerPort: ports[(index * 2) + 1]!,
		}));
		await this.#publishVms(addresses);
		for (const address of addresses) {
			this.#writeYaml(`${address.vm}.yaml`, routerSettings.createRouterSettings(address, {
				host,
				kvUrl: this.kvUrl,
				vmListUrl: `http://${host}:${this.#vmList!.port}`,
				routers: addresses,
				extra: this.#settings.routerSettings,
			}));
			const child = this.#startChild(address.vm, path.join(packagesFolder, 'router/dist/main.js'), [
				'--settings', this.#filePath(`${address.vm}.yaml`),
			]);
			this.routers.push({...address, url: `http://${host}:${address.port}`, child});
		}

		await Promise.all(this.routers.map(async router => this.#waitUntilReady(router)));
	}

	async #publishVms(routers: readonly routerSettings.RouterAddress[]): Promise<void> {
		const vms = routers.map(({vm, peerPort, dataCentre}) => ({
			vm, host, peerPort, dataCentre, leaving: false,
		}));
		const res = await undici.request(`http://${host}:${this.#vmList!.port}/v1/vms`, {
			method: 'PUT', body: JSON.stringify(vms),
		});
		await res.body.dump();
	}

	async #waitUntilReady(router: RunningRouter): Promise<void> {
		const deadline = Date.now() + readyTimeoutMs;
		while (Date.now() < deadline && router.child.isRunning) {
			if (await isReady(router.url)) { // eslint-disable-line no-await-in-loop
				return;
			}

			await util.sleep(readyPollMs); // eslint-disable-line no-await-in-loop
		}

		throw new Error(`${router.vm} did not become ready; see ${this.#settings.folder}`);
	}

	async #startStandIn(folder: string, name: string, args: readonly string[]): Promise<RunningStandIn> {
		const script = path.join(packagesFolder, 'stand-ins/dist', folder, 'main.js');
		const seed = String(this.#settings.seed);
		const child = this.#startChild(name, script, ['--host', host, '--seed', seed, ...args]);
		const addresses = JSON.parse(await child.firstLine()) as fault.StandInAddresses;
		return {
			name, child, port: addresses.port, faultPort: addresses.faultPort,
		};
	}

	async #restartStandIn(folder: string, standIn: RunningStandIn, args: readonly string[]): Promise<util.ChildProcess> {
		const ports = ['--port', String(standIn.port), '--fault-port', String(standIn.faultPort)];
		const {child} = await this.#startStandIn(folder, standIn.name, [...ports, ...args]);
		return child;
	}

	#engineArgs(name: string, versions: readonly string[]): string[] {
		return [
			'--name',
			name,
			'--weights',
			versions.map(version => `${manifestFile.modelName}@${version}`).join(','),
			'--weight-store',
			`http://${host}:${this.#weightStore!.port}`,
			'--record-file',
			this.#filePath(`${name}.records`),
			...this.#settings.engineArgs,
		];
	}

	#runnerArgs(name: string): string[] {
		return ['--name', name, '--record-file', this.#filePath(`${name}.records`), ...this.#settings.runnerArgs];
	}

	#startChild(name: string, script: string, args: readonly string[]): util.ChildProcess {
		const child = util.startChildProcess(this.#childOptions(name, script, args));
		this.#children.add(child);
		return child;
	}

	#childOptions(name: string, script: string, args: readonly string[]): util.ChildProcessOptions {
		return {
			name, script, args, logFile: this.#filePath(`${name}.log`),
		};
	}

	#readRecords(standIn: RunningStandIn): unknown[] {
		const file = this.#filePath(`${standIn.name}.records`);
		if (!fs.existsSync(file)) {
			return [];
		}

		const lines = fs.readFileSync(file, 'utf8').split('\n');
		return lines.filter(line => line !== '').map(line => JSON.parse(line) as unknown);
	}

	#writeYaml(name: string, content: unknown): string {
		const file = this.#filePath(name);
		fs.writeFileSync(file, yaml.stringify(content));
		return file;
	}

	#filePath(name: string): string {
		return path.join(this.#settings.folder, name);
	}
}

async function isReady(routerUrl: string): Promise<boolean> {
	try {
		const res = await undici.request(`${routerUrl}/readyz`, {signal: AbortSignal.timeout(readyPollMs * 10)});
		await res.body.dump();
		return res.statusCode === 200;
	} catch {
		return false;
	}
}

function toEndpointAddress(standIn: RunningStandIn, index: number): manifestFile.EndpointAddress {
	return {id: standIn.name, dataCentre: dataCentres[index % dataCentres.length]!, port: standIn.port};
}
