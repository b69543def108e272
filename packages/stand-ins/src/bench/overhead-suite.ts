import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as undici from 'undici';
import * as deployment from '../deployment/index.js';
import * as load from '../load/index.js';
import * as cpuTime from './cpu-time.js';
import * as overheadCalls from './overhead-calls.js';

/** Options of the overhead suite. */
export type OverheadSuiteOptions = {
	readonly seed: number;
	/** Folder that `overhead.json` is written to. */
	readonly outFolder: string;
};

/** Durations of one kind of call, direct and through a router. */
type Comparison = {
	readonly name: string;
	readonly direct: load.LatencySummary;
	readonly routed: load.LatencySummary;
};

/** Requests that one router process answered and the CPU time that it used. */
type Throughput = {
	readonly name: string;
	readonly requests: number;
	readonly durationMs: number;
	readonly cpuMs: number;
	readonly requestsPerCore: number;
};

const serviceCalls = 2000;
const chatCalls = 300;
const warmUpCalls = 200;
const concurrency = 64;
const throughputMs = 5000;
const millisecondsPerSecond = 1000;

/** Measures the latency that a router adds to a call and the requests per second per CPU core. */
export async function runOverheadSuite(options: OverheadSuiteOptions): Promise<void> {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'bluebellmast-overhead-'));
	const localDeployment = new deployment.LocalDeployment({
		folder,
		seed: options.seed,
		routers: 1,
		engines: 1,
		runners: 1,
		engineArgs: ['--step-ms', '1', '--slots', '256', '--prefill-tokens-per-second', '100000000'],
		runnerArgs: ['--latency-ms', '0'],
	});
	const agent = new undici.Agent({pipelining: 1});
	try {
		await localDeployment.start();
		const result = await measureAll(localDeployment, agent);
		fs.mkdirSync(options.outFolder, {recursive: true});
		fs.writeFileSync(path.join(options.outFolder, 'overhead.json'), `${JSON.stringify(result, undefined, '\t')}\n`);
		print(result);
	} finally {
		await agent.destroy();
		await localDeployment.stop();
		fs.rmSync(folder, {recursive: true});
	}
}

async function measureAll(localDeployment: deployment.LocalDeployment, agent: undici.Dispatcher) {
	const calls = overheadCalls.createCalls({
		agent,
		account: localDeployment.accounts[0]!,
		router: localDeployment.routerUrls[0]!,
		engine: `http://127.0.0.1:${localDeployment.engines[0]!.port}`,
		runner: `http://127.0.0.1:${localDeployment.runners[0]!.port}`,
		weights: `${deployment.modelName}@1`,
	});
	await compare('warm-up', calls.serviceDirect, calls.serviceRouted, warmUpCalls);
	await compare('warm-up', calls.chatDirect, calls.chatRouted, warmUpCalls);
	const {pid} = localDeployment.routers[0]!.child;
	return {
		comparisons: [
			...await compare('plain service', calls.serviceDirect, calls.serviceRouted, serviceCalls),
			...await compare('streamed chat', calls.chatDirect, calls.chatRouted, chatCalls),
		],
		throughputs: [
			await measureThroughput('plain service', calls.serviceRouted, pid),
			await measureThroughput('streamed chat', calls.chatRouted, pid),
		],
	};
}

/** Makes direct and routed calls alternately, one at a time. */
async function compare(
	name: string,
	direct: overheadCalls.Call,
	routed: overheadCalls.Call,
	count: number,
): Promise<Comparison[]> {
	const recorders = Array.from({length: 4}, () => new load.LatencyRecorder());
	const [directFirst, routedFirst, directTotal, routedTotal] = recorders as [load.LatencyRecorder, load.LatencyRecorder, load.LatencyRecorder, load.LatencyRecorder];
	for (let index = 0; index < count; index++) {
		const directTimes = await direct(); // eslint-disable-line no-await-in-loop
		const routedTimes = await routed(); // eslint-disable-line no-await-in-loop
		directFirst.record(directTimes.firstByteMs);
		routedFirst.record(routedTimes.firstByteMs);
		directTotal.record(directTimes.totalMs);
		routedTotal.record(routedTimes.totalMs);
	}

	return [
		{name: `${name}, first byte`, direct: directFirst.summarize(), routed: routedFirst.summarize()},
		{name: `${name}, complete response`, direct: directTotal.summarize(), routed: routedTotal.summarize()},
	];
}

/** Makes calls with a fixed concurrency for `throughputMs`. */
async function measureThroughput(name: string, call: overheadCalls.Call, pid: number): Promise<Throughput> {
	const cpuBefore = cpuTime.cpuTimeMs(pid);
	const startedAt = performance.now();
	const counts = await Promise.all(Array.from({length: concurrency}, async () => callUntil(call, startedAt + throughputMs)));
	const durationMs = Math.round(performance.now() - startedAt);
	const cpuMs = cpuTime.cpuTimeMs(pid) - cpuBefore;
	const requests = counts.reduce((sum, count) => sum + count, 0);
	return {
		name, requests, durationMs, cpuMs, requestsPerCore: Math.round(requests * millisecondsPerSecond / cpuMs),
	};
}

async function callUntil(call: overheadCalls.Call, endAt: number): Promise<number> {
	let count = 0;
	while (performance.now() < endAt) {
		await call(); // eslint-disable-line no-await-in-loop
		count += 1;
	}

	return count;
}

function print(result: {readonly comparisons: readonly Comparison[]; readonly throughputs: readonly Throughput[]}): void {
	for (const {name, direct, routed} of result.comparisons) {
		console.log(`${name}: direct median ${direct.p50Ms} ms, p99 ${direct.p99Ms} ms; routed median ${routed.p50Ms} ms, p99 ${routed.p99Ms} ms (${direct.count} calls each)`);
	}

	for (const {name, requests, durationMs, cpuMs, requestsPerCore} of result.throughputs) {
		console.log(`${name}: ${requests} requests in ${durationMs} ms with ${cpuMs} ms of CPU time, ${requestsPerCore} requests per second per core`);
	}
}
