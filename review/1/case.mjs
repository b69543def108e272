/* eslint-disable camelcase -- Field names of the protocol. */
/* eslint-disable no-await-in-loop -- Steps follow one another. */
// Unsafe requests at a service of which one runner fails a part of its requests after it has run them, with status 503.
import * as http from 'node:http';
import * as caseRun from '../lib/case.mjs';
import * as client from '../lib/client.mjs';
import * as net from '../lib/net.mjs';

const runnerCount = 8;
const failingShare = 0.4;
const troubleFrom = 2000;
const troubleMs = 6500;
const lengthMs = 12_000;
const intervalMs = 20;
const promisingStatuses = new Set([408, 421, 429, 503]);

await caseRun.runCase(import.meta.dirname, async (system, hasTrouble, write) => {
	await system.start({
		gatewayCount: 2, runnerCount, runner: {workMs: 15}, routes: [{
			name: 'pitch-booking', prefix: '/book/', kind: 'unsafe', timeout_ms: 1500,
		}],
	});
	const startedAt = Date.now();
	const [grey] = system.runners;
	let runCount = 0;
	grey.chooseFailure = () => {
		const sinceMs = Date.now() - startedAt;
		runCount += 1;
		const isFailing = hasTrouble && sinceMs >= troubleFrom && sinceMs < troubleFrom + troubleMs && runCount % 5 < 5 * failingShare;
		return isFailing ? 503 : undefined;
	};

	const agents = system.gateways.map(() => new http.Agent({keepAlive: true}));
	const sent = [];
	for (let number = 1; Date.now() - startedAt < lengthMs; number++) {
		sent.push(book(system, agents, number));
		await net.sleep(intervalMs);
	}

	const bookings = await Promise.all(sent);
	return judge(system, bookings, write);
});

/** Books as a client does: once more, at another gateway, after a promise that the request has not run. */
async function book(system, agents, number) {
	const attempts = [];
	for (let attempt = 0; attempt < 2; attempt++) {
		const index = (number + attempt) % system.gateways.length;
		const seen = await client.send(system.gateways[index], {
			agent: attempt === 0 ? agents[index] : new http.Agent(),
			id: `${number.toString(16).padStart(8, '0')}0000000${attempt}`,
			path: `/book/${number}`,
			body: `{"pitch":${number}}`,
			deadlineMs: 1500,
		});
		attempts.push(seen);
		if (!promisingStatuses.has(seen.status)) {
			break;
		}

		await net.sleep(Math.min(500, Number(seen.retryAfter ?? 0) * 1000));
	}

	return {number, attempts};
}

function judge(system, bookings, write) {
	const runs = system.runners.flatMap(runner => runner.runs);
	const findings = [];
	let doubled = 0;
	for (const {number, attempts} of bookings) {
		for (const seen of attempts) {
			const ran = runs.filter(run => run.id === seen.id);
			const ranAt = ran.map(run => `${run.runner} (${run.status})`).join(', ') || 'nobody';
			write(`sent ${seen.id} (booking ${number}) to ${seen.gateway}: answered ${seen.status ?? seen.problem}, seal ${seen.seal ?? 'none'}; run by ${ranAt}`);
			if (promisingStatuses.has(seen.status) && ran.length > 0) {
				findings.push(`REFUSED: ${seen.id} was answered ${seen.status} and had run at ${ran[0].runner}`);
			}
		}

		doubled += runs.filter(run => run.path === `/book/${number}`).length > 1 ? 1 : 0;
	}

	write(`seen: ${bookings.length} bookings, ${runs.length} runs; ${doubled} bookings were made twice since their clients trusted the promise`);
	return findings;
}
