import * as http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {ServerFault: serverFaults} = standIns.usersPlatform;
const pollMs = 5;
const maxPolls = 2000;
const silenceMs = 300;
const longSilenceMs = 1500;
const leaveMs = 50;

describe('UsersServerStandIn', () => {
	it('interrupts a stream that began under the fault, though the fault was taken back before the first event', async () => {
		const server = new standIns.usersPlatform.UsersServerStandIn({
			id: 'engine-1', service: 'llm', model: 'm', firstEventDelayMs: 80,
		});
		const {port} = await server.start();
		try {
			server.fault = serverFaults.BreakStream;
			const interrupted = new Promise<boolean>(resolve => {
				const req = http.get({
					host: '127.0.0.1', port, path: '/stream/1', headers: {'Bluebellmast-Request-Id': 'r1', 'Bluebellmast-Expected-Instance': 'engine-1'},
				}, res => {
					res.on('error', () => undefined);
					res.on('close', () => {
						resolve(!res.complete);
					});
					res.resume();
				});
				req.on('error', () => {
					resolve(true);
				});
			});
			for (let count = 0; count < maxPolls && server.executions.length === 0; count++) {
				await sleep(pollMs); // eslint-disable-line no-await-in-loop
			}

			chai.expect(server.executions).to.have.lengthOf(1);

			server.fault = serverFaults.None;
			chai.expect(await interrupted).to.equal(true);
		} finally {
			await server.stop();
		}
	});

	for (const {kind, model} of [{kind: 'stream'}, {kind: 'plain response', model: undefined}].map(each => ({model: 'm', ...each}))) {
		it(`sends nothing of a ${kind} while it is silent, and records when the request arrived`, async () => {
			const server = new standIns.usersPlatform.UsersServerStandIn({id: 's-1', service: 's', model});
			const {port} = await server.start();
			try {
				const before = Date.now();
				server.fallSilent(silenceMs);
				const status = await new Promise<number | undefined>(resolve => {
					http.get({
						host: '127.0.0.1', port, path: '/stream/1', headers: {'Bluebellmast-Request-Id': 'r1', 'Bluebellmast-Expected-Instance': 's-1'},
					}, res => {
						res.resume();
						res.on('end', () => {
							resolve(res.complete ? res.statusCode : undefined);
						});
					});
				});
				const endedAt = Date.now();
				chai.expect(status).to.equal(200);
				chai.expect(endedAt - before).to.be.at.least(silenceMs);
				chai.expect(endedAt - server.executions[0]!.arrivedAt).to.be.greaterThan(silenceMs / 2);
			} finally {
				await server.stop();
			}
		});
	}

	it('executes a request that arrived in a silence, though the connection was closed meanwhile, and starts no stream', async () => {
		const server = new standIns.usersPlatform.UsersServerStandIn({id: 's-1', service: 's', model: 'm'});
		const {port} = await server.start();
		try {
			server.fallSilent(silenceMs);
			const req = http.request({
				host: '127.0.0.1', port, path: '/stream/1', method: 'POST',
				headers: {'Bluebellmast-Request-Id': 'r1', 'Bluebellmast-Expected-Instance': 's-1'},
			});
			req.on('error', () => undefined);
			req.end('body');
			await sleep(silenceMs / 2);
			req.destroy();
			for (let count = 0; count < maxPolls && server.executions.length === 0; count++) {
				await sleep(pollMs); // eslint-disable-line no-await-in-loop
			}

			await sleep(pollMs);
			chai.expect(server.executions.map(({requestId, body}) => ({requestId, body}))).to.deep.equal([{requestId: 'r1', body: 'body'}]);
			chai.expect(server.starts).to.deep.equal([]);
		} finally {
			await server.stop();
		}
	});

	it('records when a connection closed in a silence, not when the silence ended', async () => {
		const server = new standIns.usersPlatform.UsersServerStandIn({id: 's-1', service: 's'});
		const {port} = await server.start();
		try {
			const silentUntil = Date.now() + longSilenceMs;
			server.fallSilent(longSilenceMs);
			const req = http.request({
				host: '127.0.0.1', port, path: '/view/1', headers: {'Bluebellmast-Request-Id': 'r1', 'Bluebellmast-Expected-Instance': 's-1'},
			});
			req.on('error', () => undefined);
			req.end();
			await sleep(leaveMs);
			req.destroy();
			for (let count = 0; count < maxPolls && server.executions.length === 0; count++) {
				await sleep(pollMs); // eslint-disable-line no-await-in-loop
			}

			chai.expect(Date.now()).to.be.at.least(silentUntil);
			chai.expect(server.executions[0]!.endedAt).to.be.lessThan(silentUntil);
			chai.expect(server.abandonedRequestIds).to.deep.equal(['r1']);
		} finally {
			await server.stop();
		}
	});
});
