import * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as blocking from '../support/blocking.js';
import * as clients from '@bluebellmast/kv';

const {expect} = chai;
const endMs = 1500;
/** When the connection is closed, in milliseconds after its caller has connected. */
const closedAtMs = 200;
const blockedMs = 500;

function block(): void {
	const until = performance.now() + blockedMs;
	while (performance.now() < until) {} // eslint-disable-line no-empty -- Blocks the event loop.
}

// Guards against a request that waits unread on an idle connection which is closed after the event loop was blocked beside the decision.
describe('closeIdle', () => {
	let server: net.Server;
	let close: (socket: net.Socket) => void;

	beforeEach(async () => {
		server = net.createServer({allowHalfOpen: true}, socket => {
			socket.on('data', () => {
				socket.write('answer');
			});
			socket.on('error', () => undefined);
			setTimeout(() => {
				close(socket);
			}, closedAtMs);
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	afterEach(() => {
		server.close();
	});

	async function runCaller(writes: readonly blocking.CallerWrite[]): Promise<blocking.SeenByCaller> {
		const {port} = server.address() as net.AddressInfo;
		const seen = await blocking.runThreadCaller(port, writes, endMs);
		await sleep(100);
		return seen;
	}

	it('leaves a connection open on which a request arrives while the event loop is blocked just before the close', async () => {
		close = socket => {
			setImmediate(block);
			void clients.connections.closeIdle(socket);
		};

		const {received, endedAfterMs} = await runCaller([{atMs: closedAtMs + (blockedMs / 2), text: 'request'}]);
		expect({received, endedAfterMs}).to.deep.equal({received: 'answer', endedAfterMs: undefined});
	});

	it('closes a connection at once, though the event loop is blocked just after the decision', async () => {
		close = socket => {
			void clients.connections.closeIdle(socket);
			setImmediate(block);
		};

		const {endedAfterMs} = await runCaller([]);
		expect(endedAfterMs).to.be.within(closedAtMs - 50, closedAtMs + 100);
	});
});
