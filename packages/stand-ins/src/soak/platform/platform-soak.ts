import * as fs from 'node:fs';
import * as path from 'node:path';
import * as perfHooks from 'node:perf_hooks';
import * as check from '../../check/index.js';
import * as gatewaySettings from './gateway-settings.js';
import * as platformAction from './platform-action.js';
import * as platformClients from './platform-clients.js';
import * as platformInjector from './platform-injector.js';
import * as platformPlan from './platform-plan.js';
import * as platformSystem from './platform-system.js';

/** Options of a soak run of the deployed gateways. */
export type PlatformSoakOptions = {
	/** Folder for settings, logs and records. */
	readonly folder: string;
	/** Root of the repository, with the built program. */
	readonly root: string;
	readonly seed: number;
	readonly durationMs: number;
	/** Whether only silences of servers and changes by the operator are played; false by default. */
	readonly onlySilences?: boolean;
	/** Prints one line. */
	readonly print: (line: string) => void;
};

const checkIntervalMs = 10_000;
const nanosecondsPerMillisecond = 1e6;
const maxLogLines = 200;

/** Runs the deployed gateways as processes under load and planned faults; returns the findings. */
export async function runPlatformSoak(options: PlatformSoakOptions): Promise<check.platform.Finding[]> {
	const plan = platformPlan.createPlatformPlan(options.seed, options.durationMs, {onlySilences: options.onlySilences});
	const {sizes, versionMs, actions} = plan;
	options.print(`${sizes.gateways} gateways, ${sizes.engines} engines of each of two models, ${sizes.runners} runners, version bound ${versionMs} ms`);
	for (const action of actions) {
		options.print(`plan: ${platformAction.formatAction(action)}`);
	}

	const bounds = gatewaySettings.createBounds(versionMs);
	const system = new platformSystem.PlatformSystem({
		seed: options.seed, sizes, bounds, streamEvents: check.platform.streamEvents, folder: options.folder, root: options.root,
	});
	try {
		await system.start();
		return await playPlan(options, plan, bounds, system);
	} finally {
		await system.stop();
	}
}

async function playPlan(
	options: PlatformSoakOptions,
	plan: platformPlan.PlatformPlan,
	bounds: check.platform.Bounds,
	system: platformSystem.PlatformSystem,
): Promise<check.platform.Finding[]> {
	const clients = new platformClients.PlatformClients(system, options.seed);
	const injector = new platformInjector.PlatformInjector({
		system, clients, plan, bounds, print: options.print,
	});
	const printed = new Set<string>();
	const readRecord = (isEnd: boolean): check.platform.PlatformRecord => ({
		...createRecord(bounds, system, clients, injector), finalVersions: isEnd ? system.fleet.listVersions() : [],
	});
	const report = (isEnd: boolean): check.platform.Finding[] => {
		const findings = check.platform.checkPlatform(readRecord(isEnd));
		for (const line of findings.map(finding => formatFinding(finding)).filter(text => !printed.has(text))) {
			printed.add(line);
			options.print(`finding: ${line}`);
		}

		return findings;
	};

	const eventLoopDelay = perfHooks.monitorEventLoopDelay();
	eventLoopDelay.enable();
	const timer = setInterval(report, checkIntervalMs, false);
	try {
		await Promise.all([clients.run(options.durationMs), injector.run()]);
	} finally {
		clearInterval(timer);
		clients.stop();
	}

	printSummary(options, clients);
	options.print(`the soak itself was delayed by ${Math.round(eventLoopDelay.max / nanosecondsPerMillisecond)} ms at most`);
	options.print(formatWaits(system));
	const faultEnds = [...injector.disruptions, ...injector.silences, ...injector.blocks].map(({to}) => to);
	options.print(faultEnds.length === 0 ? 'there was no fault' : `the last fault ended ${Date.now() - Math.max(...faultEnds)} ms before the end`);
	const findings = report(true);
	writeRecord(options.folder, readRecord(true), findings, system);
	return findings;
}

/** Creates the record of what has been seen so far, without requests that have not ended. */
function createRecord(
	bounds: check.platform.Bounds,
	system: platformSystem.PlatformSystem,
	clients: platformClients.PlatformClients,
	injector: platformInjector.PlatformInjector,
): Omit<check.platform.PlatformRecord, 'finalVersions'> {
	const {fleet, operator, gateways} = system;
	const now = Date.now();
	return {
		bounds,
		exchanges: clients.exchanges,
		executions: fleet.listExecutions().filter(({requestId}) => !clients.openIds.has(requestId)),
		arrivals: fleet.listArrivals(),
		starts: fleet.listStarts().filter(({requestId}) => !clients.openIds.has(requestId)),
		models: fleet.mapModels(),
		disruptions: [...injector.disruptions, ...fleet.crashDisruptions],
		crashes: fleet.crashes,
		versions: operator.versions,
		configs: operator.configs,
		leavingPeriods: injector.leavingPeriods,
		plannedStops: injector.plannedStops,
		reloads: injector.reloads,
		silences: injector.silences,
		blocks: injector.blocks,
		orders: fleet.listOrders(),
		endedAt: now,
		gatewayStarts: gateways.flatMap(({name, lives}) => lives.map(life => ({
			gateway: name, at: life.at, readyAt: life.readyAt, lastReadyAt: life.lastReadyAt, endedAt: life.endedAt ?? now, exitCode: life.exitCode,
		}))),
	};
}

/** Formats a finding as one line. */
export function formatFinding(finding: check.platform.Finding): string {
	return `${finding.check}: ${finding.requestId === undefined ? '' : `${finding.requestId}: `}${finding.text}`;
}

function printSummary(options: PlatformSoakOptions, clients: platformClients.PlatformClients): void {
	const counts = new Map<string, number>();
	for (const {end, status} of clients.exchanges) {
		const name = end === check.platform.ExchangeEnd.Complete ? String(status) : end;
		counts.set(name, (counts.get(name) ?? 0) + 1);
	}

	options.print(`requests by outcome: ${[...counts].map(([name, count]) => `${name} ${count}`).join(', ')}`);
}

/** Formats how long a process waited for a processor, in the worst second of all. */
function formatWaits({scheduling: {entries}}: platformSystem.PlatformSystem): string {
	const [worst] = [...entries].sort((first, second) => second.waitedMs - first.waitedMs);
	return `a process waited for a processor for ${worst?.waitedMs ?? 'unknown'} ms in one second at most (${worst?.process ?? 'none'})`;
}

/** Writes the record, and for each request with a finding a file with all that concerns it. */
function writeRecord(
	folder: string,
	record: check.platform.PlatformRecord,
	findings: readonly check.platform.Finding[],
	system: platformSystem.PlatformSystem,
): void {
	for (const [name, value] of Object.entries({...record, scheduling: system.scheduling.entries})) {
		const text = Array.isArray(value) ? value.map(entry => JSON.stringify(entry)).join('\n') : JSON.stringify(value);
		fs.writeFileSync(path.join(folder, `${name}.jsonl`), `${text}\n`);
	}

	const ids = new Set(findings.flatMap(({requestId}) => requestId === undefined ? [] : [requestId]));
	for (const id of ids) {
		const lines = [
			...findings.filter(({requestId}) => requestId === id).map(finding => formatFinding(finding)),
			...[...record.exchanges, ...record.executions, ...record.starts].filter(({requestId}) => requestId === id).map(entry => JSON.stringify(entry)),
			...system.gateways.flatMap(gateway => findLogLines(gateway.logFile, id)),
		];
		fs.writeFileSync(path.join(folder, `request-${id}.txt`), `${lines.join('\n')}\n`);
	}
}

function findLogLines(file: string, requestId: string): string[] {
	const pattern = new RegExp(String.raw`\b${requestId}\b`);
	return fs.readFileSync(file, 'utf8').split('\n').filter(line => pattern.test(line)).slice(0, maxLogLines);
}
