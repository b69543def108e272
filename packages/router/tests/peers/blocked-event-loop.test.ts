import * as buffer from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as wire from '@bluebellmast/wire';
import * as blocking from '../../../kv/tests/support/blocking.js';
import * as threadServer from '../../../kv/tests/support/thread-server.js';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const host = '127.0.0.1';

function encode(message: wire.frames.FrameMessage): string {
	return buffer.Buffer.from(wire.frames.encodeFrame(message).unsafeCoerce()).toString('latin1');
}

const hello = encode({
	type: wire.peer.PeerMessageType.Hello,
	protocol: wire.peer.peerProtocolVersion,
	vm: 'b',
	incarnation: 'b-1',
	dataCentre: 'a',
	host,
	port: 1,
	replaces: false,
} as wire.peer.Hello);
const heartbeat = encode({type: wire.peer.PeerMessageType.Heartbeat});

// Guards against links that are judged silent, or closed without a hello, by data that arrived while the event loop was blocked.
describe('a link whose data arrives while the event loop is blocked', () => {
	let peer: threadServer.ThreadServer;
	let counted: string[];
	let network: router.peers.TcpPeerNetwork;

	async function start(writes: readonly threadServer.ServerWrite[]): Promise<void> {
		counted = [];
		peer = await threadServer.ThreadServer.start(writes, threadServer.WriteStart.Connection);
		network = new router.peers.TcpPeerNetwork({
			vm: 'a',
			incarnation: 'a-1',
			dataCentre: 'a',
			host,
			port: 0,
			clock: new router.clock.SystemClock(),
			addresses: () => [{host, port: peer.port}],
			metrics: {
				increment(name) {
					counted.push(name);
				},
				gauge: () => undefined,
				timing: () => undefined,
			},
		});
		await network.start();
	}

	afterEach(async () => {
		await network.stop();
		await peer.stop();
	});

	it('is not replaced as a silent one', async () => {
		await start([{afterMs: 0, text: hello}, {afterMs: 1750, text: heartbeat}, {afterMs: 2500, text: heartbeat}]);
		await sleep(1650);
		await blocking.blockEventLoop(700);
		await sleep(400);
		expect(network.connectedVms()).to.deep.equal(['b']);
		expect(counted).to.not.include('peer.silent_links');
	});

	it('is not closed for a hello that was not read yet', async () => {
		await start([{afterMs: 0, text: hello}]);
		await blocking.blockEventLoop(2800);
		await sleep(300);
		expect({vms: network.connectedVms(), connectionCount: peer.connectionCount}).to.deep.equal({vms: ['b'], connectionCount: 1});
	});
});
