import {Buffer} from 'node:buffer';
import * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as wire from '@bluebellmast/wire';
import * as router from '@bluebellmast/router';

const host = '127.0.0.1';
const shortTimeouts = {
	heartbeatMs: 20, silentMs: 100, closeMs: 2000, helloTimeoutMs: 400, dialDelays: {firstMs: 10, maxMs: 50},
};

type TextMessage = wire.frames.FrameMessage & {readonly text: string};

async function waitUntil(condition: () => boolean): Promise<void> {
	while (!condition()) {
		await sleep(5); // eslint-disable-line no-await-in-loop
	}
}

/** TCP proxy to a port. `dropTraffic` makes it discard all further data of the open connections. */
class TcpProxy {
	readonly pairs: Array<readonly [net.Socket, net.Socket]> = [];
	readonly server: net.Server;

	constructor(target: () => number) {
		this.server = net.createServer(near => {
			const far = net.connect(target(), host);
			near.on('error', () => near.destroy());
			far.on('error', () => far.destroy());
			near.pipe(far);
			far.pipe(near);
			this.pairs.push([near, far]);
		});
	}

	get port(): number {
		return (this.server.address() as net.AddressInfo).port;
	}

	dropTraffic(): void {
		for (const [near, far] of this.pairs) {
			near.unpipe(far);
			far.unpipe(near);
			near.resume();
			far.resume();
		}
	}
}

describe('TcpPeerNetwork', () => {
	let cleanups: Array<() => Promise<void> | void> = [];

	afterEach(async () => {
		await Promise.all(cleanups.map(async cleanup => cleanup()));
		cleanups = [];
	});

	async function startNetwork(vm: string, addresses: () => readonly router.peers.PeerAddress[], overrides = {}) {
		const network = new router.peers.TcpPeerNetwork({
			vm, incarnation: `${vm}-1`, dataCentre: 'dc', host, port: 0, addresses, clock: new router.clock.SystemClock(),
			...shortTimeouts, ...overrides,
		});
		cleanups.push(async () => network.stop());
		await network.start();
		return network;
	}

	async function listenRaw(server: net.Server): Promise<void> {
		const sockets = new Set<net.Socket>();
		server.on('connection', socket => sockets.add(socket));
		cleanups.push(() => {
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		});
		await new Promise<void>(resolve => {
			server.listen(0, host, resolve);
		});
	}

	it('connects all pairs of routers and delivers messages in both directions', async () => {
		const addresses: router.peers.PeerAddress[] = [];
		const networks = await Promise.all(['a', 'b', 'c'].map(async vm => startNetwork(vm, () => addresses)));
		const received: string[] = [];
		for (const [index, network] of networks.entries()) {
			addresses.push({host, port: network.port});
			network.on(wire.peer.PeerMessageType.Usage, (from, message) => {
				received.push(`${from}>${'abc'[index]!}:${(message as TextMessage).text}`);
			});
		}

		await waitUntil(() => networks.every(network => network.connectedVms().length === 2));
		await sleep(4 * shortTimeouts.heartbeatMs);
		for (const network of networks) {
			network.broadcast({type: wire.peer.PeerMessageType.Usage, text: 'x'} as TextMessage);
		}

		await waitUntil(() => received.length >= 6);
		chai.expect(received.sort()).to.deep.equal(['a>b:x', 'a>c:x', 'b>a:x', 'b>c:x', 'c>a:x', 'c>b:x']);
	});

	/**
	 * Starts two routers, a and b, silences the link between them, and waits until a judges it silent or b has replaced it.
	 *
	 * @param onSilent - Called when a judges the link silent, before a replaces it. The state ends with the replacement, which
	 * takes less time than the interval of `waitUntil`.
	 */
	async function startWithSilentLink(clock: router.clock.Clock, onSilent?: () => void, overridesOfB = {}) {
		const b = await startNetwork('b', () => [], {closeMs: 60_000, clock, ...overridesOfB});
		const proxy = new TcpProxy(() => b.port);
		await listenRaw(proxy.server);
		let isDropped = false;
		let isJudgedSilent = false;
		let isReplaced = false;
		const observe = () => {
			if (isDropped && !isJudgedSilent && a.connectedVms().length === 0) {
				isJudgedSilent = true;
				onSilent?.();
			}
		};

		const a = await startNetwork('a', () => {
			observe();
			return [{host, port: proxy.port, vm: 'b'}];
		}, {closeMs: 60_000, clock});
		await waitUntil(() => a.connectedVms().length === 1 && b.connectedVms().length === 1);
		const received: string[] = [];
		b.on(wire.peer.PeerMessageType.Usage, (_, message) => {
			received.push((message as TextMessage).text);
		});
		a.on(wire.peer.PeerMessageType.Hello, () => {
			isReplaced = true;
		});
		isDropped = true;
		proxy.dropTraffic();
		await waitUntil(() => {
			observe();
			return isJudgedSilent || isReplaced;
		});
		return {a, received};
	}

	it('replaces a silent link by a new one', async () => {
		const {a, received} = await startWithSilentLink(new router.clock.SystemClock());
		await waitUntil(() => a.send('b', {type: wire.peer.PeerMessageType.Usage, text: 'again'} as TextMessage));
		await waitUntil(() => received.length > 0);
		chai.expect(received).to.include('again');
	});

	it('keeps a link silent that was silent before the process paused', async () => {
		const steadyClock = new router.clock.SystemClock();
		let pausedMs = 0;
		const {a, received} = await startWithSilentLink({now: () => steadyClock.now() + pausedMs}, () => {
			pausedMs += 3 * shortTimeouts.heartbeatMs;
		}, {silentMs: 60_000});
		chai.expect(pausedMs).to.be.greaterThan(0);
		await waitUntil(() => a.send('b', {type: wire.peer.PeerMessageType.Usage, text: 'again'} as TextMessage));
		await waitUntil(() => received.length > 0);
		chai.expect(received).to.include('again');
	});

	/** Starts a router with one link to a peer that sends its hello and nothing else; the clock stands still until `advance`. */
	async function startWithMutePeer() {
		const server = net.createServer(socket => {
			const hello: wire.peer.Hello = {
				type: wire.peer.PeerMessageType.Hello, protocol: wire.peer.peerProtocolVersion, vm: 'b', incarnation: 'b-1',
				dataCentre: 'dc', host, port: 1, replaces: false,
			};
			socket.on('error', () => socket.destroy());
			socket.resume();
			socket.write(wire.frames.encodeFrame(hello).unsafeCoerce());
		});
		await listenRaw(server);
		const {port} = server.address() as net.AddressInfo;
		let now = 1_000_000;
		let ticks = 0;
		const a = await startNetwork('a', () => {
			ticks += 1;
			return [{host, port}];
		}, {clock: {now: () => now}, closeMs: 60_000});
		await waitUntil(() => a.connectedVms().length === 1);
		return {
			a,
			advance(elapsedMs: number) {
				now += elapsedMs;
			},
			async waitForTick() {
				const previousTicks = ticks;
				await waitUntil(() => ticks > previousTicks);
			},
		};
	}

	const {heartbeatMs, silentMs} = shortTimeouts;
	const tickIntervals: ReadonlyArray<readonly [string, readonly number[]]> = [
		['on time', [heartbeatMs]],
		['late by half an interval', [1.5 * heartbeatMs]],
		['late by more than an interval', [(2 * heartbeatMs) + 1]],
		['late by more than an interval at times', [heartbeatMs, heartbeatMs, (3 * heartbeatMs) + 1]],
		['later than the time limit of a silent link', [silentMs + 1]],
		['much later than the time limit of a silent link', [10 * silentMs]],
		['early after the clock was set back', [heartbeatMs, heartbeatMs, -5 * heartbeatMs]],
	];
	for (const [label, intervals] of tickIntervals) {
		it(`accepts no message again on a link judged silent when ticks are ${label}`, async () => {
			const {a, advance, waitForTick} = await startWithMutePeer();
			const accepted: boolean[] = [];
			const send = () => {
				accepted.push(a.send('b', {type: wire.peer.PeerMessageType.Usage}));
			};

			for (let step = 0; step < 15; step += 1) {
				advance(intervals[step % intervals.length]!);
				send();
				await waitForTick(); // eslint-disable-line no-await-in-loop
				send();
			}

			chai.expect(accepted.at(-1), 'the link is judged silent').to.equal(false);
			chai.expect(accepted.lastIndexOf(true), 'index of the last accepted message').to.be.lessThan(accepted.indexOf(false));
		});
	}

	it('keeps a link that was in use before the process paused', async () => {
		const steadyClock = new router.clock.SystemClock();
		let pausedMs = 0;
		const clock = {now: () => steadyClock.now() + pausedMs};
		const b = await startNetwork('b', () => []);
		const counted: string[] = [];
		const metrics: router.metrics.Metrics = {
			increment(name) {
				counted.push(name);
			},
			gauge: () => undefined,
			timing: () => undefined,
		};
		const a = await startNetwork('a', () => [{host, port: b.port, vm: 'b'}], {
			clock, metrics, silentMs: 10_000, closeMs: 20_000,
		});
		await waitUntil(() => a.connectedVms().length === 1);
		pausedMs += 60_000;
		await sleep(4 * shortTimeouts.heartbeatMs);
		chai.expect(a.connectedVms()).to.deep.equal(['b']);
		chai.expect(counted).to.include('peer.links_opened').and.not.include('peer.links_closed');
	});

	it('passes the hello of the new incarnation to the handler when a router restarts', async () => {
		const hellos: string[] = [];
		const addresses: router.peers.PeerAddress[] = [];
		const a = await startNetwork('a', () => addresses);
		a.on(wire.peer.PeerMessageType.Hello, (_, message) => {
			hellos.push((message as wire.peer.Hello).incarnation);
		});
		const first = await startNetwork('b', () => [{host, port: a.port}], {incarnation: 'b-1'});
		await waitUntil(() => hellos.length === 1);
		await first.stop();
		await startNetwork('b', () => [{host, port: a.port}], {incarnation: 'b-2'});
		await waitUntil(() => hellos.length === 2);
		chai.expect(hellos).to.deep.equal(['b-1', 'b-2']);
	});

	it('opens a link on demand and closes it when it is idle', async () => {
		const b = await startNetwork('b', () => []);
		const a = await startNetwork('a', () => [], {
			idleMs: 100,
			findAddress: (vm: string) => vm === 'b' ? {host, port: b.port, vm} : undefined,
		});
		chai.expect(a.send('b', {type: wire.peer.PeerMessageType.Usage})).to.equal(false);
		await waitUntil(() => a.send('b', {type: wire.peer.PeerMessageType.Usage}));
		await waitUntil(() => a.connectedVms().length === 0 && b.connectedVms().length === 0);
	});

	it('closes a connection that sends an invalid frame and keeps the other links', async () => {
		const a = await startNetwork('a', () => []);
		await startNetwork('b', () => [{host, port: a.port}]);
		await waitUntil(() => a.connectedVms().length === 1);
		for (const bytes of [Buffer.from([0xFF, 0xFF, 0xFF, 0xFF]), Buffer.from([0, 0, 0, 1, 0xF6])]) {
			const socket = net.connect(a.port, host);
			socket.resume();
			socket.write(bytes);
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				socket.on('close', resolve);
			});
		}

		chai.expect(a.connectedVms()).to.deep.equal(['b']);
	});

	it('refuses sends to a router that does not read once the buffer limit is reached', async () => {
		const server = net.createServer(socket => {
			const hello: wire.peer.Hello = {
				type: wire.peer.PeerMessageType.Hello, protocol: wire.peer.peerProtocolVersion, vm: 'b', incarnation: 'b-1',
				dataCentre: 'dc', host, port: 1, replaces: false,
			};
			socket.on('error', () => socket.destroy());
			socket.write(wire.frames.encodeFrame(hello).unsafeCoerce());
			socket.pause();
		});
		await listenRaw(server);
		const {port} = server.address() as net.AddressInfo;
		const a = await startNetwork('a', () => [{host, port}], {silentMs: 60_000, closeMs: 60_000, maxBufferedBytes: 100_000});
		await waitUntil(() => a.connectedVms().length === 1);
		const message: TextMessage = {type: wire.peer.PeerMessageType.Usage, text: 'x'.repeat(50_000)};
		let sent = 0;
		while (a.send('b', message)) {
			sent += 1;
			chai.expect(sent).to.be.lessThan(10_000);
			await sleep(0); // eslint-disable-line no-await-in-loop
		}
	});
});
