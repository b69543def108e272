/* eslint-disable camelcase -- Field names of the protocol. */
/* eslint-disable no-await-in-loop -- Steps follow one another. */
// A gateway process is killed while it passes streams on, some of which have no length and end with their connection.
import * as http from 'node:http';
import * as caseRun from '../lib/case.mjs';
import * as client from '../lib/client.mjs';
import * as net from '../lib/net.mjs';

const model = 'daka510000';
const runnerCount = 6;
const events = 30;
const eventMs = 100;
/** One in twenty. */
const unframedEach = 20;
const clientCount = 360;
const clientGapMs = 8;
const killAtMs = 5000;
/** Only half of the runners send such answers, for five seconds. */
const unframedFromMs = 1000;
const unframedMs = 5000;
const lengthMs = 9000;
const deadlineMs = 8000;

await caseRun.runCase(import.meta.dirname, async (system, hasTrouble, write) => {
	await system.start({
		gatewayCount: 2,
		runnerCount,
		runner: {workMs: eventMs, model, events},
		routes: [{
			name: 'ration-plan', prefix: '/plan/', kind: 'streaming', timeout_ms: deadlineMs, target_latency_ms: 600, sticky: true, resumable: false, gap_target_ms: 300,
		}],
	});
	const startedAt = Date.now();
	for (const runner of system.runners.slice(0, runnerCount / 2)) {
		runner.isUnframed = ({id}) => {
			const sinceMs = Date.now() - startedAt;
			return sinceMs >= unframedFromMs && sinceMs < unframedFromMs + unframedMs && isUnframed(id);
		};
	}

	const seen = [];
	const clients = [];
	for (let number = 0; number < clientCount; number++) {
		clients.push(keepAsking(system.gateways[number % 2], number, startedAt + lengthMs, seen));
		await net.sleep(clientGapMs);
	}

	await net.sleep(Math.max(0, startedAt + killAtMs - Date.now()));
	if (hasTrouble) {
		write(`seen: SIGKILL of ${system.gateways[0].name}`);
		system.gateways[0].signal('SIGKILL');
	}

	await Promise.all(clients);
	return judge(system, seen, write);
});

/** The same share at both gateways, whose clients have even and odd numbers. */
function isUnframed(id) {
	const number = Number.parseInt(id.slice(0, 4), 16) - 1;
	return Math.floor(number / 2) % unframedEach === 0;
}

/** Asks for one stream after the other, as long as its gateway runs. */
async function keepAsking(gateway, number, endsAt, seen) {
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	for (let count = 0; Date.now() < endsAt && gateway.isRunning; count++) {
		const id = `${(number + 1).toString(16).padStart(4, '0')}${count.toString(16).padStart(12, '0')}`;
		seen.push(await client.send(gateway, {
			agent,
			id,
			path: `/plan/${number}`,
			body: 'a prompt',
			deadlineMs,
			headers: {'Bluebellmast-Model': model, 'Bluebellmast-Token-Usage': '400,30', 'Bluebellmast-Prompt-Prefix': `5c1e07a2:200,${id}:200`},
		}));
	}

	agent.destroy();
}

function judge(system, seen, write) {
	const runs = new Map(system.runners.flatMap(runner => runner.runs).map(run => [run.id, run]));
	const findings = [];
	const counts = {whole: 0, shown: 0, hidden: 0};
	for (const each of seen) {
		const run = runs.get(each.id);
		const received = (each.body ?? '').split('\n\n').length - 1;
		const end = each.isComplete ? 'ended as complete' : `did not end as complete (${each.problem})`;
		const form = run?.isUnframed ? 'without a length' : 'chunked';
		write(`sent ${each.id} to ${each.gateway}: ${each.status ?? 'no status'}, seal ${each.seal ?? 'none'}, ${received} of ${events} events, ${end}; sent by ${run?.runner ?? 'nobody'} ${form}`);
		if (each.isComplete && each.status === 200 && received < events) {
			counts.hidden += 1;
			findings.push(`MIXED: ${each.id} got ${received} of ${events} events as a success that looks complete`);
		} else {
			counts[each.isComplete ? 'whole' : 'shown'] += 1;
		}
	}

	write(`seen: ${seen.length} requests; ${counts.whole} whole; ${counts.shown} seen to be cut; ${counts.hidden} cut that looked complete`);
	return findings;
}
