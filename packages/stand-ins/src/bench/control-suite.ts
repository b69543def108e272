import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import * as deployment from '../deployment/index.js';
import * as util from '../util/index.js';
import * as cpuTime from './cpu-time.js';

/** Options of the suite. */
export type ControlSuiteOptions = {
	readonly seed: number;
	/** Numbers of routers to measure, one run each. */
	readonly sizes: readonly number[];
	/** Folder that gets `control.json`. */
	readonly outFolder: string;
};

/** What a router spends while no caller asks for anything, as the mean over all routers. */
type ControlCost = {
	readonly routers: number;
	/** Share of a core, in percent. */
	readonly cpuPercent: number;
	readonly residentMegabytes: number;
	/** Bytes a second sent to other routers, frames only, by type of message. */
	readonly peerBytesPerSecond: Readonly<Record<string, number>>;
	readonly allPeerBytesPerSecond: number;
	/** Calls of the key-value service a second, of all routers together. */
	readonly kvCallsPerSecond: number;
};

type Sample = {
	readonly cpuMs: number;
	/** By type of message. */
	readonly peerBytes: Readonly<Record<string, number>>;
	readonly kvCalls: number;
};

const operatorKey = 'control-suite';
const settleMs = 10_000;
const measuredMs = 10_000;
const bytesPerMegabyte = 1024 * 1024;
const kilobyte = 1024;
const percent = 100;
const millisecondsPerSecond = 1000;

/** Measures the cost of control at several fleet sizes, on router processes of this machine without callers. */
export async function runControlSuite(options: ControlSuiteOptions): Promise<void> {
	const costs: ControlCost[] = [];
	for (const routers of options.sizes) {
		const cost = await measure(routers, options.seed); // eslint-disable-line no-await-in-loop
		console.log(JSON.stringify(cost));
		costs.push(cost);
	}

	fs.mkdirSync(options.outFolder, {recursive: true});
	fs.writeFileSync(path.join(options.outFolder, 'control.json'), `${JSON.stringify(costs, undefined, '\t')}\n`);
}

async function measure(routers: number, seed: number): Promise<ControlCost> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bluebellmast-control-'));
	const operatorKeyHash = crypto.createHash('sha256').update(operatorKey).digest('hex');
	const local = new deployment.LocalDeployment({
		folder, seed, routers, routerSettings: {operatorKeyHash},
	});
	try {
		await local.start();
		await util.sleep(settleMs);
		const before = await takeSample(local);
		await util.sleep(measuredMs);
		const after = await takeSample(local);
		return createCost(routers, before, after, local);
	} finally {
		await local.stop();
		fs.rmSync(folder, {recursive: true});
	}
}

function createCost(routers: number, before: Sample, after: Sample, local: deployment.LocalDeployment): ControlCost {
	const seconds = measuredMs / millisecondsPerSecond;
	const resident = local.routers.map(router => residentBytes(router.child.pid));
	const bytes = Object.entries(after.peerBytes)
		.map(([type, count]) => [type, Math.round((count - (before.peerBytes[type] ?? 0)) / routers / seconds)] as const);
	return {
		routers,
		cpuPercent: (after.cpuMs - before.cpuMs) / routers / measuredMs * percent,
		residentMegabytes: sum(resident) / routers / bytesPerMegabyte,
		peerBytesPerSecond: Object.fromEntries(bytes),
		allPeerBytesPerSecond: sum(bytes.map(([, count]) => count)),
		kvCallsPerSecond: (after.kvCalls - before.kvCalls) / seconds,
	};
}

async function takeSample(local: deployment.LocalDeployment): Promise<Sample> {
	const cpuMs = sum(local.routers.map(router => cpuTime.cpuTimeMs(router.child.pid)));
	const counters = await Promise.all(local.routers.map(async router => readCounters(router.url)));
	return {
		cpuMs,
		peerBytes: countByType(counters, 'peer.sent_bytes.'),
		kvCalls: sum(Object.values(countByType(counters, 'kv.calls.'))),
	};
}

/** Adds up the counters of all routers whose names begin with a prefix, by the rest of the name. */
function countByType(counters: ReadonlyArray<Readonly<Record<string, number>>>, prefix: string): Record<string, number> {
	const totals: Record<string, number> = {};
	for (const [name, count] of counters.flatMap(counter => Object.entries(counter))) {
		if (name.startsWith(prefix)) {
			const type = name.slice(prefix.length);
			totals[type] = (totals[type] ?? 0) + count;
		}
	}

	return totals;
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

async function readCounters(url: string): Promise<Readonly<Record<string, number>>> {
	const res = await undici.request(`${url}/admin/status`, {headers: {authorization: `Bearer ${operatorKey}`}});
	const status = await res.body.json() as {counters: Readonly<Record<string, number>>};
	return status.counters;
}

/** Returns the memory that a process holds, in bytes. */
function residentBytes(pid: number): number {
	const text = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
	const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(text)?.[1];
	return Number(kilobytes ?? 0) * kilobyte;
}
