import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as blocking from '../support/blocking.js';
import * as threadServer from '../support/thread-server.js';
import * as clients from '@bluebellmast/kv';

const {expect} = chai;
const rangeResponse = threadServer.createJsonResponse({header: {revision: '5'}});
const notice = '{"result":{}}\n';
const noticeChunk = `${notice.length.toString(16)}\r\n${notice}\r\n`;

// Guards against calls that count as lost, and a service that counts as silent, by a response that arrived while the event loop was blocked.
describe('a response of the key-value service that arrives while the event loop is blocked', () => {
	let server: threadServer.ThreadServer;
	let client: clients.kv.EtcdClient;

	async function start(writes: readonly threadServer.ServerWrite[]): Promise<void> {
		server = await threadServer.ThreadServer.start(writes);
		client = clients.kv.createEtcdClient({
			baseUrls: [`http://127.0.0.1:${server.port}`], callTimeoutMs: 600, watchProgressTimeoutMs: 600,
		});
	}

	afterEach(async () => {
		await client.close();
		await server.stop();
	});

	it('is read though the time of a read has passed meanwhile', async () => {
		await start([{afterMs: 400, text: rangeResponse}]);
		const reading = client.get('key');
		await sleep(300);
		await blocking.blockEventLoop(1000);
		const result = await reading;
		expect(result.isRight()).to.equal(true);
	});

	it('is read though the time of a write has passed meanwhile', async () => {
		await start([{afterMs: 400, text: threadServer.createJsonResponse({header: {revision: '5'}, succeeded: true})}]);
		const writing = client.compareAndSwap('key', 0, new Uint8Array(1));
		await sleep(300);
		await blocking.blockEventLoop(1000);
		const result = await writing;
		expect(result.isRight()).to.equal(true);
	});

	it('keeps a watch open though the time without data has passed meanwhile', async () => {
		await start([
			{afterMs: 0, text: rangeResponse},
			{afterMs: 300, text: `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${noticeChunk}`},
			{afterMs: 800, text: noticeChunk},
		]);
		await client.get('key');
		// The pool uses the connection again once the call has ended.
		await sleep(50);
		const ends: string[] = [];
		client.watch('key', false, {
			onChange: () => undefined,
			onEnd(reason) {
				ends.push(reason);
			},
		});
		await sleep(450);
		await blocking.blockEventLoop(1000);
		await sleep(100);
		expect(ends).to.deep.equal([]);
	});
});
