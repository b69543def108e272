import * as childProcess from 'node:child_process';
import process from 'node:process';
import * as readline from 'node:readline';
import * as url from 'node:url';
import type * as fault from '../fault/index.js';
import type * as engine from '../engine/index.js';
import * as deploymentProfile from './deployment-profile.js';

/** An engine that runs as a child process. */
export type FleetEngine = {
	readonly name: string;
	readonly options: engine.EngineOptions;
	port: number;
	child: childProcess.ChildProcess;
};

const mainFile = url.fileURLToPath(new URL('engine-main.js', import.meta.url));

/** Starts, kills and restarts the engine processes of one run. */
export class EngineFleet {
	readonly engines: FleetEngine[] = [];

	/** Starts all engines of a deployment; the engine with the index `slowEngine` runs at a fifth of the speed. */
	async start(deployment: deploymentProfile.DeploymentProfile, slowEngine?: number): Promise<void> {
		const started = Array.from({length: deployment.engines}, async (_, index) => {
			const options = createEngineOptions(deployment, index, index === slowEngine ? 5 : 1);
			const {child, port} = await startProcess(options);
			return {
				name: options.name!, options, port, child,
			};
		});
		this.engines.push(...await Promise.all(started));
	}

	/** Kills an engine. */
	async crash(index: number): Promise<void> {
		await endProcess(this.engines[index]!.child, 'SIGKILL');
	}

	/** Restarts a crashed engine on its previous port, with an empty cache. */
	async restart(index: number): Promise<void> {
		const crashed = this.engines[index]!;
		const {child} = await startProcess({...crashed.options, port: crashed.port});
		crashed.child = child;
	}

	/** Kills all engines. */
	async stop(): Promise<void> {
		await Promise.all(this.engines.map(async entry => endProcess(entry.child, 'SIGKILL')));
	}
}

function createEngineOptions(deployment: deploymentProfile.DeploymentProfile, index: number, slowdown: number): engine.EngineOptions {
	return {
		name: `engine-${index}`,
		seed: index + 1,
		weights: [deploymentProfile.weightsKey],
		slots: deployment.slots,
		prefillTokensPerSecond: deployment.prefillTokensPerSecond / slowdown,
		prefillChunkTokens: deployment.prefillChunkTokens,
		stepMs: deployment.stepMs * slowdown,
		stepPerRequestMs: deployment.stepPerRequestMs * slowdown,
		cacheLimitTokens: deployment.cacheLimitTokens,
		// The bench delays and drops reports and events per router; the oracle receives them without delay.
		loadLagMs: 0,
		cacheEventDelayMs: 0,
		cacheEventLoss: 0,
	};
}

async function startProcess(options: engine.EngineOptions): Promise<{child: childProcess.ChildProcess; port: number}> {
	const child = childProcess.spawn(process.execPath, [mainFile, JSON.stringify(options)], {stdio: ['ignore', 'pipe', 'inherit']});
	const lines = readline.createInterface({input: child.stdout});
	const line = await new Promise<string>((resolve, reject) => {
		lines.once('line', resolve);
		child.once('exit', () => {
			reject(new Error('engine exited before it was ready'));
		});
	});
	const addresses = JSON.parse(line) as fault.StandInAddresses;
	return {child, port: addresses.port};
}

async function endProcess(child: childProcess.ChildProcess, signal: NodeJS.Signals): Promise<void> {
	if (child.exitCode !== null || child.signalCode !== null) {
		return;
	}

	const exited = new Promise<void>(resolve => {
		child.once('exit', () => {
			resolve();
		});
	});
	child.kill(signal);
	await exited;
}
