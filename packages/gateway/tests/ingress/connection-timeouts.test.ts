import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as purify from 'purify-ts';
import * as core from '@bluebellmast/core';
import * as rawCallers from '../support/raw-caller.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const msPerSecond = 1000;
const request = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';
const requestHead: gateway.ports.RequestHead = {
	method: 'GET', target: '/', host: 'a.example', requestId: 'r', forwardedHeaders: [],
};
const headCheckIntervalMs = 100;

/** Returns the time for which a response allows its connection to be used again, in milliseconds. */
function getAnnouncedMs({head}: rawCallers.WholeResponse): number {
	return Number(/^keep-alive: timeout=(?<seconds>\d+)\r$/im.exec(head)?.groups?.seconds) * msPerSecond;
}

describe('timeouts of callers\' connections', () => {
	let server: gateway.ingress.GatewayServer;
	let caller: rawCallers.RawCaller;
	let rejections: unknown[] = [];
	/** Ends the responses. */
	let finish: Promise<void>;

	beforeEach(async () => {
		finish = Promise.resolve();
		rejections = [];
		server = new gateway.ingress.GatewayServer({
			protocol: {decodeRequestHead: () => purify.Right(requestHead)},
			filters: [new gateway.call.BodyFilter(new gateway.util.SystemClocks())],
			dispatcher: {
				async dispatch(ctx: gateway.call.RequestContext) {
					await finish;
					ctx.res.end('answer');
				},
			} as unknown as gateway.call.RequestDispatcher,
			clock: new gateway.util.SystemClocks(),
			log: {
				write(event, fields) {
					if (event === core.log.LogEvent.RequestRejected) {
						rejections.push(fields);
					}
				},
			},
			headCheckIntervalMs,
		});
		await server.listen({host: '127.0.0.1', port: 0});
	});

	afterEach(() => {
		server.close();
		caller.socket.destroy();
	});

	it('allow an idle connection as long as a limit that was raised meanwhile', async () => {
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 100});
		caller = await rawCallers.connect(server.port);
		caller.socket.write(request);
		await caller.read();
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 20_000});
		await sleep(getAnnouncedMs(caller.responses[0]!) + 1500);
		caller.socket.write(request);
		await caller.read(2);
		expect(caller.statuses).to.deep.equal([200, 200]);
	});

	it('allow a connection that became idle before the first configuration as long as its limit', async () => {
		caller = await rawCallers.connect(server.port);
		caller.socket.write(request);
		await caller.read();
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 20_000});
		await sleep(getAnnouncedMs(caller.responses[0]!) + 1500);
		caller.socket.write(request);
		await caller.read(2);
		expect(caller.statuses).to.deep.equal([200, 200]);
	});

	it('allow an idle connection longer than its last response announced, so that a request does not cross the close', async () => {
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 0});
		caller = await rawCallers.connect(server.port);
		const sentAt = performance.now();
		caller.socket.write(request);
		await caller.read();
		await rawCallers.waitUntil(() => caller.isClosed);
		expect(caller.closedAt! - sentAt).to.be.greaterThan(getAnnouncedMs(caller.responses[0]!) + 500);
	});

	it('allow an idle connection as long as its last response announced, after the limit was lowered', async () => {
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 1000});
		caller = await rawCallers.connect(server.port);
		const sentAt = performance.now();
		caller.socket.write(request);
		await caller.read();
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 0});
		await rawCallers.waitUntil(() => caller.isClosed);
		expect(caller.closedAt! - sentAt).to.be.greaterThan(getAnnouncedMs(caller.responses[0]!) - 1);
	});

	it('allow a connection as long as its response announces, if the limit is lowered before the response ends', async () => {
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 1000});
		finish = sleep(200);
		caller = await rawCallers.connect(server.port);
		caller.socket.write(request);
		await sleep(100);
		server.applyLimits({headerTimeoutMs: 5000, idleTimeoutMs: 0});
		const beforeEnd = performance.now();
		await caller.read();
		await rawCallers.waitUntil(() => caller.isClosed);
		expect(caller.closedAt! - beforeEnd).to.be.greaterThan(getAnnouncedMs(caller.responses[0]!) - 1);
	});

	it('do not end a connection that is idle for longer while a response is in progress', async () => {
		server.applyLimits({headerTimeoutMs: 200, idleTimeoutMs: 0});
		finish = sleep(3500);
		caller = await rawCallers.connect(server.port);
		caller.socket.write(request);
		await caller.read();
		expect(caller.statuses).to.deep.equal([200]);
	});

	it('do not end a body in progress that takes longer than the limits of heads and idle connections', async () => {
		server.applyLimits({headerTimeoutMs: 200, idleTimeoutMs: 0});
		caller = await rawCallers.connect(server.port);
		caller.socket.write('POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nx');
		await sleep(3500);
		caller.socket.write('x');
		await caller.read();
		expect(caller.statuses).to.deep.equal([200]);
	});

	it('allow a head in progress as long as a limit that was lowered meanwhile', async () => {
		server.applyLimits({headerTimeoutMs: 10_000, idleTimeoutMs: 5000});
		caller = await rawCallers.connect(server.port);
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.exa');
		await sleep(100);
		server.applyLimits({headerTimeoutMs: 200, idleTimeoutMs: 5000});
		await sleep(1000);
		caller.socket.write('mple\r\n\r\n');
		await caller.read();
		expect(caller.statuses).to.deep.equal([200]);
	});

	it('apply a lowered limit to the heads that begin after the limit before it has passed', async () => {
		server.applyLimits({headerTimeoutMs: 300, idleTimeoutMs: 5000});
		server.applyLimits({headerTimeoutMs: 100, idleTimeoutMs: 5000});
		server.applyLimits({headerTimeoutMs: 100, idleTimeoutMs: 5000});
		caller = await rawCallers.connect(server.port);
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.exa');
		await caller.read();
		expect(caller.statuses).to.deep.equal([408]);
	});

	it('refuse a head that takes too long with status 408, which states that the request is not executed', async () => {
		server.applyLimits({headerTimeoutMs: 200, idleTimeoutMs: 5000});
		caller = await rawCallers.connect(server.port);
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.exa');
		await sleep(100);
		await caller.read();
		expect(caller.statuses).to.deep.equal([408]);
		expect(rejections).to.deep.equal([{code: gateway.call.RefusalCode.HeadTimeout, findings: 'connection: Request timeout'}]);
	});

	it('send nothing on a connection on which no request has begun', async () => {
		server.applyLimits({headerTimeoutMs: 200, idleTimeoutMs: 100});
		caller = await rawCallers.connect(server.port);
		caller.socket.resume();
		await rawCallers.waitUntil(() => caller.isClosed);
		expect(caller.isClosed).to.equal(true);
		expect(caller.received).to.equal('');
	});
});
