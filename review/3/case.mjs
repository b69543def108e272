/* eslint-disable camelcase -- Field names of the protocol. */
/* eslint-disable no-await-in-loop -- Steps follow one another. */
// A client sends a request with the method CONNECT and leaves before it has its answer, while others wait for theirs.
import * as http from 'node:http';
import * as nodeNet from 'node:net';
import * as caseRun from '../lib/case.mjs';
import * as client from '../lib/client.mjs';
import * as deployment from '../lib/deployment.mjs';
import * as net from '../lib/net.mjs';

const clientCount = 24;
const workMs = 300;
const lengthMs = 8000;
const leavesAfterMs = 5000;

await caseRun.runCase(import.meta.dirname, async (system, hasTrouble, write) => {
	await system.start({
		gatewayCount: 2, runnerCount: 3, runner: {workMs}, routes: [{
			name: 'pitch-booking', prefix: '/book/', kind: 'unsafe', timeout_ms: 1500,
		}],
	});
	const startedAt = Date.now();
	const [gateway] = system.gateways;
	const seen = [];
	const clients = Array.from({length: clientCount}, async (_, number) => keepBooking(gateway, number, startedAt + lengthMs, seen));
	await net.sleep(leavesAfterMs);
	const answer = await connectOnce(gateway, hasTrouble);
	write(`the client with CONNECT to ${gateway.name}: ${answer}`);
	await Promise.all(clients);
	return judge(system, seen, write);
});

/** Sends one request after the other on a kept connection. */
async function keepBooking(gateway, number, endsAt, seen) {
	const agent = new http.Agent({keepAlive: true, maxSockets: 1});
	for (let count = 0; Date.now() < endsAt && gateway.isRunning; count++) {
		seen.push(await client.send(gateway, {
			agent, id: `${(number + 1).toString(16).padStart(4, '0')}${count.toString(16).padStart(12, '0')}`, path: `/book/${number}-${count}`, body: '{}', deadlineMs: 1500,
		}));
	}

	agent.destroy();
}

/** @param leavesEarly - Whether the client closes its connection right after its request. */
async function connectOnce({host, port}, leavesEarly) {
	return new Promise(resolve => {
		const socket = nodeNet.connect({host, port});
		socket.on('error', err => {
			resolve(err.code);
		});
		socket.once('connect', () => {
			socket.write(`CONNECT ${deployment.hostName}:443 HTTP/1.1\r\nHost: ${deployment.hostName}\r\n\r\n`, () => {
				if (leavesEarly) {
					socket.resetAndDestroy();
					resolve('reset its connection right after its request');
				}
			});
		});
		socket.once('data', data => {
			socket.end();
			resolve(`answered ${String(data).split('\r\n', 1)[0]}`);
		});
	});
}

function judge(system, seen, write) {
	const runs = new Map(system.runners.flatMap(runner => runner.runs).map(run => [run.id, run]));
	const lost = [];
	for (const each of seen) {
		const run = runs.get(each.id);
		const ranAt = run === undefined ? 'not run' : `run by ${run.runner}`;
		write(`sent ${each.id} to ${each.gateway}${each.isOnKeptConnection ? ' on a kept connection' : ''}: ${each.status ?? each.problem}; ${ranAt}`);
		if (each.status === undefined && each.isOnKeptConnection && run !== undefined) {
			lost.push(each);
		}
	}

	const ends = system.gateways.flatMap(({name, ends: list}) => list.map(end => `${name} ended by itself, exit code ${end.code}, signal ${end.signal}`));
	write(`seen: ${seen.length} requests, ${lost.length} on kept connections that runners ran and whose connection was closed without an answer; ${ends.join('; ') || 'no process ended'}`);
	for (const line of system.gateways[0].readLog().split('\n').filter(text => /Error|errno|Unhandled|at .*:\d+/.test(text) && !text.startsWith('{')).slice(0, 12)) {
		write(`the process wrote: ${line}`);
	}

	const findings = lost.length > 3 ? [`LOST: ${lost.length} requests from kept connections were passed on to sound runners and got no answer`] : [];
	return [...findings, ...ends];
}
