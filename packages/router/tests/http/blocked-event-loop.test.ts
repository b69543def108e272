import type * as http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as blocking from '../../../kv/tests/support/blocking.js';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const request = 'GET / HTTP/1.1\r\nHost: a.example\r\n\r\n';
const endMs = 8000;

function listStatuses({received}: blocking.SeenByCaller): number[] {
	return [...received.matchAll(/HTTP\/1\.1 (?<status>\d{3}) /g)].map(match => Number(match.groups!.status));
}

function createServer(
	handle: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void>,
	headerTimeoutMs = 5000,
): router.http.RouterServer {
	return new router.http.RouterServer({
		host: '127.0.0.1',
		port: 0,
		headerTimeoutMs,
		headCheckIntervalMs: 100,
		requests: {handle} as unknown as router.http.RequestHandler,
		admin: {handles: () => false} as unknown as router.http.AdminHandler,
	});
}

async function answer(_req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
	res.end('answer');
}

// Guards against a whole request that is reset or refused, since timers run before sockets are read after the event loop was blocked.
describe('a request to the router that arrives while the event loop is blocked', () => {
	let server: router.http.RouterServer;

	async function start(...args: Parameters<typeof createServer>): Promise<void> {
		server = createServer(...args);
		await server.start();
	}

	afterEach(async () => {
		await server.stop();
	});

	it('is answered though its connection has been idle for too long meanwhile', async () => {
		await start(answer);
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request}, {atMs: 3000, text: request}], endMs);
		await sleep(600);
		await blocking.blockEventLoop(6000);
		expect(listStatuses(await caller)).to.deep.equal([200, 200]);
	});

	it('is answered though the server stops meanwhile', async () => {
		await start(answer);
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request}, {atMs: 1000, text: request}], endMs);
		await sleep(600);
		setTimeout(() => {
			void server.stop();
		}, 200);
		await blocking.blockEventLoop(1200);
		expect(listStatuses(await caller)).to.deep.equal([200, 200]);
	});

	it('is answered though its connection was not accepted before the server stops', async () => {
		await start(answer);
		setTimeout(() => {
			void server.stop();
		}, 600);
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request}], endMs);
		await blocking.blockEventLoop(1200);
		expect(listStatuses(await caller)).to.deep.equal([200]);
	});

	it('is answered though the server that stops closes idle connections meanwhile', async () => {
		let isFirst = true;
		await start(async (req, res) => {
			if (!isFirst) {
				await answer(req, res);
				return;
			}

			isFirst = false;
			res.write('answer');
			await sleep(1000);
			res.end();
			await blocking.blockEventLoop(1000);
		});
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request}, {atMs: 1500, text: request}], endMs);
		await sleep(500);
		void server.stop();
		expect(listStatuses(await caller)).to.deep.equal([200, 200]);
	});

	it('is answered though the timeout of its head has passed meanwhile', async () => {
		await start(answer, 700);
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: request.slice(0, 4)}, {atMs: 650, text: request.slice(4)}], 3000);
		await sleep(500);
		await blocking.blockEventLoop(1000);
		expect(listStatuses(await caller)).to.deep.equal([200]);
	});

	it('is read as a whole though the time for its body has passed meanwhile', async () => {
		await start(async (req, res) => {
			const body = await router.http.readBody(req, {maxBytes: 10, timeoutMs: 700});
			res.statusCode = body.isRight() ? 200 : 408;
			res.end();
		});
		const head = 'POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\n';
		const caller = blocking.runThreadCaller(server.port, [{atMs: 0, text: `${head}x`}, {atMs: 650, text: 'x'}], 3000);
		await sleep(500);
		await blocking.blockEventLoop(1000);
		expect(listStatuses(await caller)).to.deep.equal([200]);
	});
});
