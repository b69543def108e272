import * as fs from 'node:fs';
import * as http from 'node:http';
import * as os from 'node:os';
import * as path from 'node:path';
import * as check from '../check/index.js';
import * as gatewaySettings from '../soak/platform/gateway-settings.js';
import * as platformClient from '../soak/platform/platform-client.js';
import * as platformSystem from '../soak/platform/platform-system.js';
import * as util from '../util/index.js';
import * as cpuTime from './cpu-time.js';

/** Options of the gateway suite. */
export type GatewaySuiteOptions = {
	readonly seed: number;
	/** Roots of built repositories, which are measured in turns. */
	readonly roots: readonly string[];
	/** Processes of each root. */
	readonly runs: number;
	/** Requests that each process handles. */
	readonly requests: number;
	/** Folder that `gateway.json` is written to. */
	readonly outFolder: string;
};

/** CPU time of one process. */
type Sample = {
	/** From the start of the process until it is ready. */
	readonly startMs: number;
	/** From then on until all requests have ended. */
	readonly servingMs: number;
	/** Maximum resident memory. */
	readonly peakMb: number;
	/** Requests that were answered completely. */
	readonly answered: number;
};

const sizes = {
	gateways: 1, engines: 3, runners: 2, dataCentres: 1,
};
const versionMs = 12_000;
const clients = 4;
const deadlineMs = 7000;
const kbPerMb = 1024;

/** Measures the CPU time that new processes of the deployed gateway need for a start and for a fixed number of requests. */
export async function runGatewaySuite(options: GatewaySuiteOptions): Promise<void> {
	const samples = new Map<string, Sample[]>(options.roots.map(root => [root, []]));
	for (let run = 0; run < options.runs; run++) {
		for (const root of options.roots) {
			samples.get(root)!.push(await measure(root, options)); // eslint-disable-line no-await-in-loop -- In turns.
		}
	}

	fs.mkdirSync(options.outFolder, {recursive: true});
	fs.writeFileSync(path.join(options.outFolder, 'gateway.json'), `${JSON.stringify(Object.fromEntries(samples), undefined, '\t')}\n`);
	for (const [root, ofRoot] of samples) {
		console.log(`${root}: start ${summarize(ofRoot.map(({startMs}) => startMs))} ms, ${options.requests} requests ${summarize(ofRoot.map(({servingMs}) => servingMs))} ms, `
			+ `peak ${summarize(ofRoot.map(({peakMb}) => peakMb))} MB, answered ${ofRoot.map(({answered}) => answered).join(' ')}`);
	}
}

async function measure(root: string, {seed, requests}: GatewaySuiteOptions): Promise<Sample> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bluebellmast-gateway-'));
	const bounds = gatewaySettings.createBounds(versionMs);
	const system = new platformSystem.PlatformSystem({
		seed, sizes, bounds, streamEvents: check.platform.streamEvents, folder, root: path.resolve(root),
	});
	try {
		await system.start();
		const {pid} = system.gateways[0]!;
		const startMs = cpuTime.cpuTimeMs(pid);
		const answered = await sendRequests(system, requests, new util.Random(seed));
		return {
			startMs, servingMs: cpuTime.cpuTimeMs(pid) - startMs, peakMb: readPeakMb(pid), answered,
		};
	} finally {
		await system.stop();
		fs.rmSync(folder, {recursive: true});
	}
}

/** Sends requests over a few connections, one after the other on each. Returns how many were answered completely. */
async function sendRequests(system: platformSystem.PlatformSystem, requests: number, random: util.Random): Promise<number> {
	const agent = new http.Agent({keepAlive: true});
	let sent = 0;
	let answered = 0;
	const send = async () => {
		while (sent < requests) {
			sent += 1;
			const route = system.operator.pickRoute(random);
			const request = platformClient.createRequest(`q-${sent}`, route, system.operator.pickKey(random, route), deadlineMs);
			const exchange = await platformClient.sendRequest(system.gateways[0]!, agent, request); // eslint-disable-line no-await-in-loop -- One after the other.
			answered += exchange.end === check.platform.ExchangeEnd.Complete && exchange.status === 200 ? 1 : 0;
		}
	};

	await Promise.all(Array.from({length: clients}, send));
	agent.destroy();
	return answered;
}

function readPeakMb(pid: number): number {
	const [, text] = /^VmHWM:\s+(\d+) kB$/m.exec(fs.readFileSync(`/proc/${pid}/status`, 'utf8'))!;
	return Math.round(Number(text) / kbPerMb);
}

/** Formats the median and the range. */
function summarize(values: readonly number[]): string {
	const sorted = values.toSorted((a, b) => a - b);
	return `${Math.round(sorted[Math.floor(sorted.length / 2)]!)} (${Math.round(sorted[0]!)} to ${Math.round(sorted.at(-1)!)})`;
}
