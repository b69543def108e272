import * as net from 'node:net';
import type * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import createDebug from 'debug';
import * as dialler from './dialler.js';
import * as linkTable from './link-table.js';
import type * as peerAddress from './peer-address.js';
import * as peerLink from './peer-link.js';
import type * as peerNetwork from './peer-network.js';
import * as networkOptions from './tcp-peer-network-options.js';

const debug = createDebug('bluebellmast:peers');

/** Links over TCP: one per pair of routers, with heartbeats, and a new link in the place of a silent one. */
export class TcpPeerNetwork implements peerNetwork.PeerNetwork, peerLink.PeerLinkListener {
	private readonly cfg: networkOptions.TcpPeerNetworkOptions & typeof networkOptions.tcpPeerNetworkDefaults;
	private readonly dialler: dialler.Dialler;
	private readonly handlers = new Map<wire.peer.PeerMessageType, peerNetwork.PeerHandler>();
	private readonly links = new Map<core.model.VmId, peerLink.PeerLink>();
	/** Connections without a hello, and links that another has replaced. */
	private readonly others = new Set<peerLink.PeerLink>();
	private readonly dialledAddresses = new Map<peerLink.PeerLink, peerAddress.PeerAddress>();
	private readonly server: net.Server;
	private timer: NodeJS.Timeout | undefined;
	private lastTickAt = 0;
	private listenPort = 0;
	private stopped = false;

	constructor(options: networkOptions.TcpPeerNetworkOptions) {
		this.cfg = {...networkOptions.tcpPeerNetworkDefaults, ...options};
		this.dialler = new dialler.Dialler(this.cfg.dialDelays);
		this.server = net.createServer(socket => {
			this.accept(socket);
		});
	}

	/** Port that links are accepted at; 0 before `start`. */
	get port(): number {
		return this.listenPort;
	}

	/** Listens and begins to open links. */
	async start(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(this.cfg.port, this.cfg.host, resolve);
		});
		this.listenPort = (this.server.address() as net.AddressInfo).port;
		this.lastTickAt = this.cfg.clock.now();
		this.timer = setInterval(() => {
			this.tick();
		}, this.cfg.heartbeatMs);
		this.tick();
	}

	/** Sends what waits, closes all links and stops listening. */
	async stop(): Promise<void> {
		this.stopped = true;
		clearInterval(this.timer);
		const closed = new Promise<void>(resolve => {
			this.server.close(() => {
				resolve();
			});
		});
		const all = [...this.links.values(), ...this.others];
		for (const link of all) {
			link.end();
		}

		const timer = setTimeout(() => {
			for (const link of all) {
				link.destroy();
			}
		}, this.cfg.heartbeatMs);
		await closed;
		clearTimeout(timer);
		for (const link of all) {
			link.destroy();
		}
	}

	connected(): readonly core.model.VmId[] {
		const now = this.cfg.clock.now();
		return [...this.links].filter(([, link]) => !this.isSilent(link, now)).map(([vm]) => vm);
	}

	send(to: core.model.VmId, message: peerNetwork.PeerMessage): boolean {
		const link = this.links.get(to);
		if (link === undefined) {
			this.dialOnDemand(to);
			return false;
		}

		const frame = this.encode(message);
		return frame !== undefined && this.sendOn(link, frame, message.type);
	}

	broadcast(message: peerNetwork.PeerMessage): void {
		const frame = this.encode(message);
		if (frame === undefined) {
			return;
		}

		for (const link of this.links.values()) {
			this.sendOn(link, frame, message.type);
		}
	}

	on(type: wire.peer.PeerMessageType, handler: peerNetwork.PeerHandler): void {
		this.handlers.set(type, handler);
	}

	onMessage(link: peerLink.PeerLink, message: wire.frames.FrameMessage): void {
		if (link.hello === undefined) {
			this.takeHello(link, message);
			return;
		}

		if (message.type !== wire.peer.PeerMessageType.Heartbeat) {
			this.handlers.get(message.type)?.(link.hello.vm, message);
		}
	}

	onBadFrame(link: peerLink.PeerLink, failure: wire.frames.FrameError): void {
		this.cfg.metrics?.increment('peer.bad_frames', 1, {code: failure.code});
		debug('closed the link to %s: %s (%s)', link.hello?.vm ?? 'a stranger', failure.message, failure.code);
	}

	onClose(link: peerLink.PeerLink): void {
		this.others.delete(link);
		const address = this.dialledAddresses.get(link);
		this.dialledAddresses.delete(link);
		if (link.hello === undefined) {
			if (address !== undefined) {
				this.dialler.failed(address, this.cfg.clock.now());
			}

			return;
		}

		const {vm} = link.hello;
		if (this.links.get(vm) === link) {
			this.links.delete(vm);
			debug('link to %s closed', vm);
			this.cfg.metrics?.increment('peer.links_closed');
		}
	}

	private encode(message: peerNetwork.PeerMessage): Uint8Array | undefined {
		const encoded = wire.frames.encodeFrame(message, this.cfg.maxFrameBytes);
		if (encoded.isLeft()) {
			this.cfg.metrics?.increment('peer.oversize', 1, {type: message.type});
			return undefined;
		}

		return encoded.unsafeCoerce();
	}

	private sendOn(link: peerLink.PeerLink, frame: Uint8Array, type: wire.peer.PeerMessageType): boolean {
		if (this.isSilent(link, this.cfg.clock.now()) || !link.sendFrame(frame, true)) {
			this.cfg.metrics?.increment('peer.send_refused');
			return false;
		}

		this.cfg.metrics?.increment('peer.sent_bytes', frame.length, {type});
		return true;
	}

	private isSilent(link: peerLink.PeerLink, now: number): boolean {
		return now - link.lastReceivedAt > this.cfg.silentMs;
	}

	private accept(socket: net.Socket): void {
		if (this.stopped || this.links.size + this.others.size >= this.cfg.maxLinks) {
			this.cfg.metrics?.increment('peer.links_refused');
			socket.destroy();
			return;
		}

		const link = this.createLink(socket, false);
		this.sendHello(link);
	}

	private dial(address: peerAddress.PeerAddress, replaces: boolean): void {
		if (this.stopped || this.links.size + this.others.size >= this.cfg.maxLinks) {
			return;
		}

		if (!this.dialler.begin(address, this.cfg.clock.now())) {
			return;
		}

		const socket = net.connect({host: address.host, port: address.port});
		const link = this.createLink(socket, true);
		link.replaces = replaces;
		this.dialledAddresses.set(link, address);
		socket.once('connect', () => {
			this.sendHello(link);
		});
	}

	private dialOnDemand(vm: core.model.VmId): void {
		const address = this.cfg.findAddress?.(vm);
		if (address !== undefined && vm !== this.cfg.vm) {
			this.dial(address, false);
		}
	}

	private createLink(socket: net.Socket, dialled: boolean): peerLink.PeerLink {
		const link = new peerLink.PeerLink({
			socket,
			dialled,
			clock: this.cfg.clock,
			maxFrameBytes: this.cfg.maxFrameBytes,
			maxBufferedBytes: this.cfg.maxBufferedBytes,
			listener: this,
		});
		this.others.add(link);
		return link;
	}

	private sendHello(link: peerLink.PeerLink): void {
		const hello: wire.peer.Hello = {
			type: wire.peer.PeerMessageType.Hello,
			protocol: wire.peer.peerProtocolVersion,
			vm: this.cfg.vm,
			incarnation: this.cfg.incarnation,
			dataCentre: this.cfg.dataCentre,
			host: this.cfg.host,
			port: this.listenPort,
			replaces: link.replaces,
		};
		link.sendFrame(this.encode(hello)!, true);
	}

	private takeHello(link: peerLink.PeerLink, message: wire.frames.FrameMessage): void {
		if (message.type !== wire.peer.PeerMessageType.Hello || !wire.peer.isHello(message)
			|| message.protocol !== wire.peer.peerProtocolVersion) {
			this.cfg.metrics?.increment('peer.bad_hello');
			debug('closed a connection whose first frame is no usable hello');
			link.destroy();
			return;
		}

		link.hello = message;
		const address = this.dialledAddresses.get(link);
		if (address !== undefined) {
			this.dialler.succeeded(address, message.vm);
		}

		if (message.vm === this.cfg.vm) {
			link.destroy();
			return;
		}

		this.adopt(link, message);
	}

	private adopt(link: peerLink.PeerLink, hello: wire.peer.Hello): void {
		const existing = this.links.get(hello.vm);
		const now = this.cfg.clock.now();
		if (existing !== undefined) {
			if (this.choose(hello.vm, existing, link, now) === linkTable.DuplicateChoice.KeepExisting) {
				link.lastUsedAt = now;
				return;
			}

			existing.lastUsedAt = now;
			this.others.add(existing);
		}

		this.others.delete(link);
		this.links.set(hello.vm, link);
		debug('link to %s %s is up', hello.vm, hello.incarnation);
		this.cfg.metrics?.increment('peer.links_opened');
		this.handlers.get(hello.type)?.(hello.vm, hello);
	}

	private choose(vm: core.model.VmId, existing: peerLink.PeerLink, next: peerLink.PeerLink, now: number) {
		const recentMs = this.cfg.silentMs;
		return linkTable.chooseLink(
			this.cfg.vm,
			vm,
			linkTable.factsOf(existing, now, recentMs),
			linkTable.factsOf(next, now, recentMs),
		);
	}

	/** Sends heartbeats, replaces silent links, closes dead and idle ones, and opens missing ones. */
	private tick(): void {
		const now = this.cfg.clock.now();
		this.forgiveOwnPause(now);
		const wanted = this.cfg.addresses();
		const kept = new Set(wanted.map(address => this.dialler.vmAt(address)));
		for (const [vm, link] of this.links) {
			this.tend(vm, link, kept, now);
		}

		this.closeOthers(now);
		for (const address of wanted) {
			const vm = this.dialler.vmAt(address);
			if (vm === undefined || (vm !== this.cfg.vm && !this.links.has(vm))) {
				this.dial(address, false);
			}
		}

		this.dialler.prune(now);
		this.cfg.metrics?.gauge('peer.links', this.links.size);
	}

	/** After a pause of this process nothing has been read yet, so silence says nothing about the links. */
	private forgiveOwnPause(now: number): void {
		const pause = now - this.lastTickAt - this.cfg.heartbeatMs;
		this.lastTickAt = now;
		if (Math.abs(pause) <= this.cfg.heartbeatMs) {
			return;
		}

		for (const link of [...this.links.values(), ...this.others]) {
			link.lastReceivedAt = now;
		}
	}

	private tend(
		vm: core.model.VmId,
		link: peerLink.PeerLink,
		kept: ReadonlySet<core.model.VmId | undefined>,
		now: number,
	): void {
		if (now - link.lastReceivedAt > this.cfg.closeMs) {
			link.destroy();
			return;
		}

		if (this.isSilent(link, now)) {
			const {host, port} = link.hello!;
			this.cfg.metrics?.increment('peer.silent_links');
			this.dial({host, port, vm}, true);
			return;
		}

		if (link.dialled && !kept.has(vm) && now - link.lastUsedAt > this.cfg.idleMs) {
			link.end();
			return;
		}

		if (now - link.lastSentAt >= this.cfg.heartbeatMs) {
			const heartbeat = this.encode({type: wire.peer.PeerMessageType.Heartbeat})!;
			link.sendFrame(heartbeat, false);
			this.cfg.metrics?.increment('peer.sent_bytes', heartbeat.length, {type: wire.peer.PeerMessageType.Heartbeat});
		}
	}

	/** Ends connections whose hello did not come in time, and replaced links once what was under way has arrived. */
	private closeOthers(now: number): void {
		for (const link of this.others) {
			const since = link.hello === undefined ? link.openedAt : link.lastUsedAt;
			if (now - since > this.cfg.helloTimeoutMs) {
				link.destroy();
			}
		}
	}
}
