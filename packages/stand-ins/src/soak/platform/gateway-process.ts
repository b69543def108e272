import * as fs from 'node:fs';
import * as http from 'node:http';
import * as path from 'node:path';
import process from 'node:process';
import type * as check from '../../check/index.js';
import * as fault from '../../fault/index.js';
import * as util from '../../util/index.js';
import * as gatewaySettings from './gateway-settings.js';

/** Options of a gateway process. */
export type GatewayProcessOptions = {
	readonly name: string;
	/** Loopback address of the machine; each gateway of a run has its own. */
	readonly host: string;
	/** Folder for the settings file and the log. */
	readonly folder: string;
	/** Root of the repository. */
	readonly root: string;
	readonly store: fault.LinkTarget;
	readonly dataCentre: string;
	readonly bounds: check.platform.Bounds;
};

const settingsVariable = 'BLUEBELLMAST_NODE_FILE';
const readyStatus = 200;
const readinessTimeoutMs = 500;
const startLinePattern = /^run = "node (.+)"$/m;

/** Life of one process of a gateway. */
type Life = {
	readonly at: number;
	readyAt?: number;
	/** When the last question was sent to which it responded that it is ready. */
	lastReadyAt?: number;
	endedAt?: number;
	/** Exit code, or -1 if a signal ended the process. */
	exitCode?: number;
};

/** The deployed gateway program on a machine of its own, and the proxy of its link to the store. */
export class GatewayProcess {
	readonly storeLink: fault.LinkProxy;
	readonly lives: Life[] = [];
	/** Whether new connections are forwarded to the gateway. */
	isInRotation = false;
	#misses = 0;
	#child: util.ChildProcess | undefined;
	#addresses: gatewaySettings.GatewayAddresses | undefined;
	#settings = '';

	constructor(private readonly options: GatewayProcessOptions) {
		this.storeLink = new fault.LinkProxy(options.store);
	}

	get name(): string {
		return this.options.name;
	}

	get host(): string {
		return this.options.host;
	}

	get callerPort(): number {
		return this.#addresses!.callerPort;
	}

	/** Id of the current process, or -1. */
	get pid(): number {
		return this.#child?.pid ?? -1;
	}

	get isRunning(): boolean {
		const life = this.lives.at(-1);
		return life !== undefined && life.endedAt === undefined;
	}

	get logFile(): string {
		return path.join(this.options.folder, `${this.name}.log`);
	}

	/** Chooses ports and writes the settings file. */
	async prepare(): Promise<void> {
		const [callerPort, readinessPort, internalPort, metricsPort] = await util.findFreePorts(4, this.host);
		this.#addresses = {
			host: this.host, callerPort: callerPort!, readinessPort: readinessPort!, internalPort: internalPort!, metricsPort: metricsPort!,
		};
		const storeAddress = `127.0.0.1:${await this.storeLink.start()}`;
		this.#settings = gatewaySettings.formatSettings({
			name: this.name, dataCentre: this.options.dataCentre, addresses: this.#addresses, storeAddress, bounds: this.options.bounds,
		});
		this.writeSettings('');
	}

	/** Writes the settings file with further lines, which are read at the next start. */
	writeSettings(furtherLines: string): void {
		fs.writeFileSync(this.#settingsFile, `${this.#settings}${furtherLines}`);
	}

	/** Starts a process with the start line of the deployment. */
	start(): void {
		const words = readStartLine(this.options.root, this.#addresses!.metricsPort);
		const scriptIndex = words.findIndex(word => !word.startsWith('-'));
		const child = util.startChildProcess({
			name: this.name,
			script: path.join(this.options.root, words[scriptIndex]!),
			nodeArgs: words.slice(0, scriptIndex),
			args: words.slice(scriptIndex + 1),
			logFile: this.logFile,
			env: {[settingsVariable]: this.#settingsFile},
		});
		const life: Life = {at: Date.now()};
		this.lives.push(life);
		this.#child = child;
		void recordEnd(child, life);
	}

	/** Sends a signal to the current process. */
	signal(name: 'terminate' | 'kill' | 'pause' | 'resume' | 'reload'): void {
		this.#child?.[name]();
	}

	/** Waits until the current process has ended; returns its exit code, or -1 if a signal ended it. */
	async waitForExit(): Promise<number> {
		return this.#child!.exited;
	}

	/** Asks the gateway once whether it is ready, as the platform does, and updates the rotation. */
	async probe(): Promise<void> {
		const life = this.lives.at(-1);
		const askedAt = Date.now();
		const isReady = await this.#isReady();
		if (isReady && life !== undefined) {
			life.readyAt ??= Date.now();
			life.lastReadyAt = askedAt;
		}

		this.#misses = isReady ? 0 : this.#misses + 1;
		this.isInRotation = isReady || (this.isInRotation && this.#misses < 2);
	}

	stop(): void {
		this.signal('kill');
		this.storeLink.stop();
	}

	get #settingsFile(): string {
		return path.join(this.options.folder, `${this.name}.conf`);
	}

	async #isReady(): Promise<boolean> {
		return new Promise(resolve => {
			const req = http.get({
				host: this.host, port: this.#addresses!.readinessPort, path: '/v1/readiness', agent: false, timeout: readinessTimeoutMs,
			}, res => {
				res.resume();
				resolve(res.statusCode === readyStatus);
			});
			req.on('timeout', () => {
				req.destroy();
			});
			req.on('error', () => {
				resolve(false);
			});
		});
	}
}

async function recordEnd(child: util.ChildProcess, life: Life): Promise<void> {
	life.exitCode = await child.exited;
	life.endedAt = Date.now();
}

/** Reads the words after `node` of the start line, with the given port for metrics. */
function readStartLine(root: string, metricsPort: number): string[] {
	const text = fs.readFileSync(path.join(root, 'deploy', 'system.toml'), 'utf8');
	const words = startLinePattern.exec(text)![1]!.split(' ');
	return words.map((word, index) => words[index - 1] === '--metrics' ? word.replace(/^\d+/, String(metricsPort)) : word);
}

/** Returns the first three numbers of a loopback address that other runs are unlikely to use. */
export function chooseNetwork(): string {
	return `127.${64 + (Math.floor(process.pid / 256) % 128)}.${process.pid % 256}`;
}
