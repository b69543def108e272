import * as net from 'node:net';
import type * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as wire from '@bluebellmast/wire';
import createDebug from 'debug';
import * as dialBackoff from './dial-backoff.js';
import * as chooseLink from './choose-link.js';
import type * as peerAddress from './peer-address.js';
import * as peerLink from './peer-link.js';
import type * as peerNetwork from './peer-network.js';
import * as runningTime from './running-time.js';
import * as networkOptions from './tcp-peer-network-options.js';

const debug = createDebug('bluebellmast:peers');

/** Peer network over TCP: one link per pair of routers, kept alive by heartbeats and replaced when it goes silent. */
export class TcpPeerNetwork implements peerNetwork.PeerNetwork, peerLink.PeerLinkListener {
	private readonly options: networkOptions.TcpPeerNetworkOptions & typeof networkOptions.tcpPeerNetworkDefaults;
	private readonly dialBackoff: dialBackoff.DialBackoff;
	private readonly runningTime: runningTime.RunningTime;
	private readonly handlers = new Map<wire.peer.PeerMessageType, peerNetwork.PeerHandler>();
	private readonly activeLinks = new Map<core.model.VmId, peerLink.PeerLink>();
	/** Connections whose hello has not been received, and links that were replaced. */
	private readonly inactiveLinks = new Set<peerLink.PeerLink>();
	private readonly dialledAddresses = new Map<peerLink.PeerLink, peerAddress.PeerAddress>();
	private readonly server: net.Server;
	private timer: clients.timeouts.InputInterval | undefined;
	private listenPort = 0;
	private isStopped = false;

	constructor(options: networkOptions.TcpPeerNetworkOptions) {
		this.options = {...networkOptions.tcpPeerNetworkDefaults, ...options};
		this.dialBackoff = new dialBackoff.DialBackoff(this.options.dialDelays);
		this.runningTime = new runningTime.RunningTime(this.options.heartbeatMs, this.options.clock.now());
		this.server = net.createServer(socket => {
			this.accept(socket);
		});
	}

	/** Port on which links are accepted; 0 before `start`. */
	get port(): number {
		return this.listenPort;
	}

	/** Starts to listen and to open links. */
	async start(): Promise<void> {
		await new Promise<void>((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(this.options.port, this.options.host, resolve);
		});
		this.listenPort = (this.server.address() as net.AddressInfo).port;
		this.timer = new clients.timeouts.InputInterval(this.options.heartbeatMs, () => {
			this.tick();
		});
		this.tick();
	}

	/** Sends the buffered frames, closes all links and stops listening. */
	async stop(): Promise<void> {
		this.isStopped = true;
		this.timer?.clear();
		const closed = new Promise<void>(resolve => {
			this.server.close(() => {
				resolve();
			});
		});
		const all = [...this.activeLinks.values(), ...this.inactiveLinks];
		for (const link of all) {
			link.end();
		}

		const timer = setTimeout(() => {
			for (const link of all) {
				link.destroy();
			}
		}, this.options.heartbeatMs);
		await closed;
		clearTimeout(timer);
		for (const link of all) {
			link.destroy();
		}
	}

	connectedVms(): readonly core.model.VmId[] {
		const now = this.options.clock.now();
		return [...this.activeLinks].filter(([, link]) => !this.isSilent(link, now)).map(([vm]) => vm);
	}

	send(to: core.model.VmId, message: peerNetwork.PeerMessage): boolean {
		const link = this.activeLinks.get(to);
		if (link === undefined) {
			this.dialOnDemand(to);
			return false;
		}

		const frame = this.encode(message);
		return frame !== undefined && this.sendFrame(link, frame, message.type);
	}

	broadcast(message: peerNetwork.PeerMessage): void {
		const frame = this.encode(message);
		if (frame === undefined) {
			return;
		}

		for (const link of this.activeLinks.values()) {
			this.sendFrame(link, frame, message.type);
		}
	}

	on(type: wire.peer.PeerMessageType, handler: peerNetwork.PeerHandler): void {
		this.handlers.set(type, handler);
	}

	onMessage(link: peerLink.PeerLink, message: wire.frames.FrameMessage): void {
		if (link.hello === undefined) {
			this.handleHello(link, message);
			return;
		}

		if (message.type !== wire.peer.PeerMessageType.Heartbeat) {
			this.handlers.get(message.type)?.(link.hello.vm, message);
		}
	}

	onBadFrame(link: peerLink.PeerLink, failure: wire.frames.FrameError): void {
		this.options.metrics?.increment('peer.bad_frames', 1, {code: failure.code});
		debug('closed the link to %s: %s (%s)', link.hello?.vm ?? 'an unknown VM', failure.message, failure.code);
	}

	onClose(link: peerLink.PeerLink): void {
		this.inactiveLinks.delete(link);
		const address = this.dialledAddresses.get(link);
		this.dialledAddresses.delete(link);
		if (link.hello === undefined) {
			if (address !== undefined) {
				this.dialBackoff.recordFailure(address, this.options.clock.now());
			}

			return;
		}

		const {vm} = link.hello;
		if (this.activeLinks.get(vm) === link) {
			this.activeLinks.delete(vm);
			debug('closed the link to %s', vm);
			this.options.metrics?.increment('peer.links_closed');
		}
	}

	private encode(message: peerNetwork.PeerMessage): Uint8Array | undefined {
		const encoded = wire.frames.encodeFrame(message, this.options.maxFrameBytes);
		if (encoded.isLeft()) {
			this.options.metrics?.increment('peer.oversize', 1, {type: message.type});
			return undefined;
		}

		return encoded.unsafeCoerce();
	}

	private sendFrame(link: peerLink.PeerLink, frame: Uint8Array, type: wire.peer.PeerMessageType): boolean {
		if (this.isSilent(link, this.options.clock.now()) || !link.sendFrame(frame, true)) {
			this.options.metrics?.increment('peer.send_refused');
			return false;
		}

		this.options.metrics?.increment('peer.sent_bytes', frame.length, {type});
		return true;
	}

	/** Returns whether a link is silent. One that is remains so until data is received on it. */
	private isSilent(link: peerLink.PeerLink, now: number): boolean {
		return link.silenceMs(now) > this.options.silentMs;
	}

	private accept(socket: net.Socket): void {
		if (this.isStopped || this.activeLinks.size + this.inactiveLinks.size >= this.options.maxLinks) {
			this.options.metrics?.increment('peer.links_refused');
			socket.destroy();
			return;
		}

		const link = this.createLink(socket, false);
		this.sendHello(link);
	}

	private dial(address: peerAddress.PeerAddress, replacesSilentLink: boolean): void {
		if (this.isStopped || this.activeLinks.size + this.inactiveLinks.size >= this.options.maxLinks) {
			return;
		}

		if (!this.dialBackoff.tryBegin(address, this.options.clock.now())) {
			return;
		}

		const socket = net.connect({host: address.host, port: address.port});
		const link = this.createLink(socket, true);
		link.replacesSilentLink = replacesSilentLink;
		this.dialledAddresses.set(link, address);
		socket.once('connect', () => {
			this.sendHello(link);
		});
	}

	private dialOnDemand(vm: core.model.VmId): void {
		const address = this.options.findAddress?.(vm);
		if (address !== undefined && vm !== this.options.vm) {
			this.dial(address, false);
		}
	}

	private createLink(socket: net.Socket, dialled: boolean): peerLink.PeerLink {
		const link = new peerLink.PeerLink({
			socket,
			dialled,
			clock: this.options.clock,
			runningTime: this.runningTime,
			maxFrameBytes: this.options.maxFrameBytes,
			maxBufferedBytes: this.options.maxBufferedBytes,
			listener: this,
		});
		this.inactiveLinks.add(link);
		return link;
	}

	private sendHello(link: peerLink.PeerLink): void {
		const hello: wire.peer.Hello = {
			type: wire.peer.PeerMessageType.Hello,
			protocol: wire.peer.peerProtocolVersion,
			vm: this.options.vm,
			incarnation: this.options.incarnation,
			dataCentre: this.options.dataCentre,
			host: this.options.host,
			port: this.listenPort,
			replaces: link.replacesSilentLink,
		};
		link.sendFrame(this.encode(hello)!, true);
	}

	private handleHello(link: peerLink.PeerLink, message: wire.frames.FrameMessage): void {
		if (message.type !== wire.peer.PeerMessageType.Hello || !wire.peer.isHello(message)
			|| message.protocol !== wire.peer.peerProtocolVersion) {
			this.options.metrics?.increment('peer.bad_hello');
			debug('closed a connection whose first frame is not a valid hello');
			link.destroy();
			return;
		}

		link.hello = message;
		const address = this.dialledAddresses.get(link);
		if (address !== undefined) {
			this.dialBackoff.recordSuccess(address, message.vm);
		}

		if (message.vm === this.options.vm) {
			link.destroy();
			return;
		}

		this.activateLink(link, message);
	}

	private activateLink(link: peerLink.PeerLink, hello: wire.peer.Hello): void {
		const existing = this.activeLinks.get(hello.vm);
		const now = this.options.clock.now();
		if (existing !== undefined) {
			if (this.chooseLink(hello.vm, existing, link, now) === chooseLink.DuplicateChoice.KeepExisting) {
				// For an inactive link, `closeInactiveLinks` counts from `lastUsedAt`.
				link.lastUsedAt = now;
				return;
			}

			existing.lastUsedAt = now;
			this.inactiveLinks.add(existing);
		}

		this.inactiveLinks.delete(link);
		this.activeLinks.set(hello.vm, link);
		debug('opened the link to %s %s', hello.vm, hello.incarnation);
		this.options.metrics?.increment('peer.links_opened');
		this.handlers.get(hello.type)?.(hello.vm, hello);
	}

	private chooseLink(vm: core.model.VmId, existing: peerLink.PeerLink, link: peerLink.PeerLink, now: number) {
		const maxReplacementAgeMs = this.options.silentMs;
		return chooseLink.chooseLink(
			this.options.vm,
			vm,
			chooseLink.linkPropertiesOf(existing, now, maxReplacementAgeMs),
			chooseLink.linkPropertiesOf(link, now, maxReplacementAgeMs),
		);
	}

	/** Sends heartbeats, replaces silent links, closes links that stayed silent or idle, and opens missing links. */
	private tick(): void {
		const now = this.options.clock.now();
		this.runningTime.tick(now);
		const addresses = this.options.addresses();
		const alwaysLinkedVms = new Set(addresses.map(address => this.dialBackoff.vmAt(address)));
		for (const [vm, link] of this.activeLinks) {
			this.maintainLink(vm, link, alwaysLinkedVms, now);
		}

		this.closeInactiveLinks(now);
		for (const address of addresses) {
			const vm = this.dialBackoff.vmAt(address);
			if (vm === undefined || (vm !== this.options.vm && !this.activeLinks.has(vm))) {
				this.dial(address, false);
			}
		}

		this.dialBackoff.prune(now);
		this.options.metrics?.gauge('peer.links', this.activeLinks.size);
	}

	private maintainLink(
		vm: core.model.VmId,
		link: peerLink.PeerLink,
		alwaysLinkedVms: ReadonlySet<core.model.VmId | undefined>,
		now: number,
	): void {
		if (link.silenceMs(now) > this.options.closeMs) {
			link.destroy();
			return;
		}

		if (this.isSilent(link, now)) {
			const {host, port} = link.hello!;
			this.options.metrics?.increment('peer.silent_links');
			this.dial({host, port, vm}, true);
			return;
		}

		if (link.dialled && !alwaysLinkedVms.has(vm) && now - link.lastUsedAt > this.options.idleMs) {
			link.end();
			return;
		}

		if (now - link.lastSentAt >= this.options.heartbeatMs) {
			const heartbeat = this.encode({type: wire.peer.PeerMessageType.Heartbeat})!;
			link.sendFrame(heartbeat, false);
			this.options.metrics?.increment('peer.sent_bytes', heartbeat.length, {type: wire.peer.PeerMessageType.Heartbeat});
		}
	}

	/** Closes connections whose hello did not arrive in time, and replaced links after messages in flight had time to arrive. */
	private closeInactiveLinks(now: number): void {
		for (const link of this.inactiveLinks) {
			const waitedMs = link.hello === undefined ? link.openMs(now) : now - link.lastUsedAt;
			if (waitedMs > this.options.helloTimeoutMs) {
				link.destroy();
			}
		}
	}
}
