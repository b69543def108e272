/* eslint-disable no-await-in-loop -- Requests follow one another. */
// The operator takes the keys of connected clients away, tenant by tenant, until none is left.
import * as path from 'node:path';
import * as url from 'node:url';
import * as harness from '../harness-3.mjs';

const folder = path.dirname(url.fileURLToPath(import.meta.url));
/** `revocation_ms` of the settings. */
const revocationMs = 5000;
const revokeGapMs = 1500;
const calmMs = 2000;
const totalMs = 16_000;
const pauseMs = 100;
const requestMs = 600;
const keys = {school: 'key-school', club: 'key-club', stranger: 'key-that-no-configuration-ever-held'};

const ranAt = new Map();

/** Tenants that the runners were told, by request. */
const tenants = new Map();

async function respond({socket, headers, requestId}, runner) {
	ranAt.set(requestId, Date.now());
	tenants.set(requestId, headers['bluebellmast-tenant'] ?? 'none');
	await harness.sleep(21);
	socket.write(`HTTP/1.1 200 OK\r\n${harness.createSeal(runner, requestId)}Content-Length: 2\r\n\r\nok`);
}

function createConfig(version, listed) {
	const config = harness.createConfig([harness.createRoute('book', 'unsafe', 'app', {attempts: 1, timeoutMs: requestMs, targetMs: 121})], version);
	return {...config, tenants: listed.map(name => ({name, keys: [keys[name]], isolated: false}))};
}

async function runClient({deployment}, {holder, number}, endsAt, sent) {
	let connection;
	for (let count = 0; Date.now() < endsAt; count++) {
		if (connection === undefined || connection.isClosed) {
			connection = new harness.Connection(deployment.gateways[number % deployment.gateways.length]);
		}

		const requestId = `${holder}-${number}-${count}`;
		const sentAt = Date.now();
		connection.send(`POST /book/1 HTTP/1.1\r\nHost: ${harness.host}\r\nBluebellmast-Request-Id: ${requestId}\r\nBluebellmast-Credential: ${keys[holder]}\r\n`
			+ `Bluebellmast-Deadline-Milliseconds: ${requestMs}\r\nContent-Length: 2\r\n\r\n{}`);
		const {status} = await connection.read(requestMs + 500);
		sent.push({
			holder, requestId, sentAt, status,
		});
		await harness.sleep(pauseMs);
	}

	connection?.close();
}

await harness.runCase(folder, async context => {
	const {record, deployment} = context;
	await deployment.start(createConfig(1, ['club', 'school']), 2);
	const runners = ['a-1', 'a-2', 'a-3'].map(id => new harness.Runner({
		id, service: 'app', slots: 6, respond,
	}));
	for (const runner of runners) {
		await runner.start();
		deployment.register(runner);
	}

	await harness.sleep(1500);
	/** When the store had acknowledged that a key was taken away. */
	const revokedAt = {};
	const write = (version, listed, revoked) => {
		deployment.store.write('op/config', createConfig(version, listed));
		revokedAt[revoked] = Date.now();
		record.write(`the store has version ${version}: the key of ${revoked} is taken away; tenants: ${JSON.stringify(listed)}`);
	};

	setTimeout(() => {
		write(2, ['club'], 'school');
	}, calmMs);
	if (harness.isTroubled) {
		setTimeout(() => {
			write(3, [], 'club');
		}, calmMs + revokeGapMs);
	}

	const sent = [];
	const endsAt = Date.now() + totalMs;
	await Promise.all(Object.keys(keys).flatMap(holder => [0, 1, 2, 3].map(async number => runClient(context, {holder, number}, endsAt, sent))));
	for (const runner of runners) {
		runner.stop();
	}

	let broken = 0;
	for (const {holder, requestId, sentAt, status} of sent) {
		record.write(`${requestId} was sent ${Date.now() - sentAt} ms ago and answered ${status}; ${ranAt.has(requestId) ? 'it ran' : 'it did not run'}`);
		const lateMs = sentAt - (revokedAt[holder] ?? Infinity);
		const isForbidden = holder === 'stranger' || lateMs > revocationMs;
		if (isForbidden && ranAt.has(requestId)) {
			broken += 1;
			const reason = holder === 'stranger' ? 'no configuration ever held its key' : `sent ${lateMs} ms after its key was taken away`;
			record.write(`BROKEN ${requestId}: ran at a runner, answered ${status}, tenant ${tenants.get(requestId)}; ${reason}`);
		}
	}

	for (const holder of Object.keys(keys)) {
		const own = sent.filter(each => each.holder === holder);
		record.write(`${holder}: ${own.length} requests, ${own.filter(({requestId}) => ranAt.has(requestId)).length} ran, `
			+ `${own.filter(({status}) => status === 401).length} answered 401`);
	}

	record.write(`${broken} requests ran that must not run`);
	return broken > 0;
});
