/* eslint-disable camelcase -- Field names of the protocol. */
/* eslint-disable no-await-in-loop -- Steps follow one another. */
// Some answers have no length and end with their connection; some of these are broken off by a reset.
import * as http from 'node:http';
import * as caseRun from '../lib/case.mjs';
import * as client from '../lib/client.mjs';
import * as net from '../lib/net.mjs';

const runnerCount = 6;
const garbledRunners = 3;
/** One answer in twenty of these runners. */
const garbledEach = 20;
const answerBytes = 800;
const garbledFromMs = 2000;
const garbledMs = 5000;
const lengthMs = 9000;
const intervalMs = 10;

await caseRun.runCase(import.meta.dirname, async (system, hasTrouble, write) => {
	await system.start({
		gatewayCount: 2, runnerCount, runner: {workMs: 15}, routes: [{
			name: 'delivery-order', prefix: '/order/', kind: 'unsafe', timeout_ms: 1500, target_latency_ms: 193,
		}],
	});
	const startedAt = Date.now();
	for (const [index, runner] of system.runners.entries()) {
		garble(runner, index < garbledRunners, {startedAt, hasTrouble});
	}

	const agents = system.gateways.map(() => new http.Agent({keepAlive: true}));
	const sent = [];
	for (let number = 1; Date.now() - startedAt < lengthMs; number++) {
		const index = number % system.gateways.length;
		sent.push(client.send(system.gateways[index], {
			agent: agents[index], id: number.toString(16).padStart(16, '0'), path: `/order/${number}`, body: '{}', deadlineMs: 1500,
		}));
		await net.sleep(intervalMs);
	}

	return judge(system, await Promise.all(sent), write);
});

/** Has one answer in twenty come without a length: broken off, or whole without the disruption. */
function garble(runner, isGarbled, {startedAt, hasTrouble}) {
	let count = 0;
	const isChosen = () => {
		const sinceMs = Date.now() - startedAt;
		count += 1;
		return isGarbled && sinceMs >= garbledFromMs && sinceMs < garbledFromMs + garbledMs && count % garbledEach === 0;
	};

	runner.createAnswer = run => `{"ran":"${run.id}","place":"${'x'.repeat(answerBytes)}"}`;
	if (hasTrouble) {
		runner.isBrokenOff = isChosen;
	} else {
		runner.isUnframed = isChosen;
	}
}

function judge(system, seen, write) {
	const runs = new Map(system.runners.flatMap(runner => runner.runs).map(run => [run.id, run]));
	const findings = [];
	const counts = {brokenOff: 0, unframed: 0, taken: 0};
	for (const each of seen) {
		const run = runs.get(each.id);
		write(`sent ${each.id} to ${each.gateway}: ${describe(each)}; ${run === undefined ? 'not run' : describeRun(run)}`);
		counts.brokenOff += run?.isBrokenOff ? 1 : 0;
		counts.unframed += run?.isUnframed ? 1 : 0;
		if (each.status === 200 && each.isComplete && each.body !== run?.answer) {
			counts.taken += 1;
			findings.push(`MIXED: ${each.id} got ${each.body.length} of ${run.answer.length} bytes as a success that looks complete; ${run.runner} had reset its connection`);
		}
	}

	write(`seen: ${seen.length} requests; ${counts.brokenOff} answers were broken off by a reset, ${counts.unframed} came whole without a length`);
	write(`seen: ${counts.taken} answers were passed on as complete though half was missing`);
	return findings;
}

function describe({status, problem, seal, body = '', isComplete}) {
	return `${status ?? problem}, seal ${seal ?? 'none'}, ${body.length} bytes, ${isComplete ? 'complete' : 'cut'}`;
}

function describeRun({runner, answer = '', isBrokenOff}) {
	return `${runner} sent ${isBrokenOff ? 'half of it, without a length, and a reset' : 'the whole answer'} (whole: ${answer.length} bytes)`;
}
