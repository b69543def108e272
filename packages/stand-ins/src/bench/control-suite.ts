import * as crypto from 'node:crypto';
import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import * as deployment from '../deployment/index.js';
import * as util from '../util/index.js';
import * as cpuTime from './cpu-time.js';

/** Options of the control suite. */
export type ControlSuiteOptions = {
	readonly seed: number;
	/** Fleet sizes to measure, as numbers of routers; one run each. */
	readonly sizes: readonly number[];
	/** Folder that `control.json` is written to. */
	readonly outFolder: string;
};

/** Cost of the control plane without requests, as the mean over all routers. */
type ControlCost = {
	readonly routers: number;
	/** CPU time in percent of one core. */
	readonly cpuPercent: number;
	readonly residentMegabytes: number;
	/** Bytes of frames sent to other routers per second, by message type. */
	readonly peerBytesPerSecond: Readonly<Record<string, number>>;
	readonly allPeerBytesPerSecond: number;
	/** Calls of the key-value service per second, as the total of all routers. */
	readonly kvCallsPerSecond: number;
};

type Sample = {
	readonly cpuMs: number;
	/** By message type. */
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

/** Measures the cost of the control plane for several fleet sizes of local router processes that receive no requests. */
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
	const localDeployment = new deployment.LocalDeployment({
		folder, seed, routers, routerSettings: {operatorKeyHash},
	});
	try {
		await localDeployment.start();
		await util.sleep(settleMs);
		const before = await takeSample(localDeployment);
		await util.sleep(measuredMs);
		const after = await takeSample(localDeployment);
		return createCost(routers, before, after, localDeployment);
	} finally {
		await localDeployment.stop();
		fs.rmSync(folder, {recursive: true});
	}
}

function createCost(routers: number, before: Sample, after: Sample, localDeployment: deployment.LocalDeployment): ControlCost {
	const seconds = measuredMs / millisecondsPerSecond;
	const resident = localDeployment.routers.map(router => residentBytes(router.child.pid));
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

async function takeSample(localDeployment: deployment.LocalDeployment): Promise<Sample> {
	const cpuMs = sum(localDeployment.routers.map(router => cpuTime.cpuTimeMs(router.child.pid)));
	const counters = await Promise.all(localDeployment.routers.map(async router => readCounters(router.url)));
	return {
		cpuMs,
		peerBytes: countByType(counters, 'peer.sent_bytes.'),
		kvCalls: sum(Object.values(countByType(counters, 'kv.calls.'))),
	};
}

/** Sums the counters of all routers whose names start with `prefix`, keyed by the rest of the name. */
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

/** Returns the resident memory of a process, in bytes. */
function residentBytes(pid: number): number {
	const text = fs.readFileSync(`/proc/${pid}/status`, 'utf8');
	const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(text)?.[1];
	return Number(kilobytes ?? 0) * kilobyte;
}
