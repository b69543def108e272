import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import * as worker from 'node:worker_threads';
import * as chai from 'chai';
import * as blocking from '../support/blocking.js';
import * as clients from '@bluebellmast/kv';

const {expect} = chai;
const timeoutMs = 250;
const responseDelayMs = 150;
const blockedMs = 600;
/** Responds to a watch with progress notices, and to all other calls once. */
const serverCode = `
const {parentPort, workerData: {delayMs}} = require('node:worker_threads');
const server = require('node:http').createServer((req, res) => {
	if (req.url === '/v3/watch') {
		res.write('{"result": {"header": {"revision": "1"}, "created": true}}\\n');
		setInterval(() => { res.write('{"result": {"header": {"revision": "1"}}}\\n'); }, 50);
		return;
	}
	setTimeout(() => { res.end(req.url === '/v1/vms' ? '[]' : '{"header": {"revision": "1"}, "kvs": []}'); }, delayMs);
});
server.listen(0, '127.0.0.1', () => { parentPort.postMessage(server.address().port); });
`;

// Guards against calls that are given up though their response had arrived while the event loop was blocked: a store that seems lost, a write whose outcome seems unknown.
describe('a call whose response arrives while the event loop is blocked', () => {
	let server: worker.Worker;
	let client: clients.kv.EtcdClient;
	let vmList: clients.vms.HttpVmListClient;

	beforeEach(async () => {
		server = new worker.Worker(serverCode, {eval: true, workerData: {delayMs: responseDelayMs}});
		const [port] = await once(server, 'message') as [number];
		const url = `http://127.0.0.1:${port}`;
		client = clients.kv.createEtcdClient({
			baseUrls: [url], callTimeoutMs: timeoutMs, watchProgressTimeoutMs: timeoutMs, onCall: () => undefined,
		});
		vmList = clients.vms.createHttpVmListClient({baseUrl: url, timeoutMs});
	});

	afterEach(async () => {
		await client.close();
		await vmList.close();
		await server.terminate();
	});

	it('succeeds: a key of the key-value service', async () => {
		const result = client.get('k');
		await sleep(50);
		await blocking.blockEventLoop(blockedMs);
		const ended = await result;
		expect(ended.isRight()).to.equal(true);
	});

	it('succeeds: the list of VMs', async () => {
		const result = vmList.list();
		await sleep(50);
		await blocking.blockEventLoop(blockedMs);
		expect(await result).to.deep.equal([]);
	});

	it('succeeds: a watch', async () => {
		const ends: string[] = [];
		const watch = client.watch('', true, {
			onChange: () => undefined,
			onEnd(reason) {
				ends.push(reason);
			},
		});
		await sleep(400);
		await blocking.blockEventLoop(blockedMs);
		await sleep(200);
		watch.close();
		expect(ends).to.deep.equal([]);
	});
});
