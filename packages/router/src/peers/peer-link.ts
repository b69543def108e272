import type * as net from 'node:net';
import * as wire from '@bluebellmast/wire';
import type * as clock from '../util/clock.js';

/** Receives what happens on a link. */
export type PeerLinkListener = {
	onMessage(link: PeerLink, message: wire.frames.FrameMessage): void;
	/** The stream carried a bad frame; the link is already being closed. */
	onBadFrame(link: PeerLink, failure: wire.frames.FrameError): void;
	onClose(link: PeerLink): void;
};

/** What a link needs to know. */
export type PeerLinkOptions = {
	readonly socket: net.Socket;
	/** Whether this end opened the connection. */
	readonly dialled: boolean;
	readonly clock: clock.Clock;
	readonly maxFrameBytes: number;
	/** Bytes that may wait in the socket before sends are refused. */
	readonly maxBufferedBytes: number;
	readonly listener: PeerLinkListener;
};

/** One TCP connection to another router. */
export class PeerLink {
	/** The other end's hello, once received. */
	hello: wire.peer.Hello | undefined;
	/** Whether this end's hello asked to replace an earlier link. */
	replaces = false;
	readonly dialled: boolean;
	readonly openedAt: number;
	lastReceivedAt: number;
	lastSentAt: number;
	/** When a message other than a heartbeat was last sent or received. */
	lastUsedAt: number;
	bytesSent = 0;
	bytesReceived = 0;

	private readonly decoder: wire.frames.FrameDecoder;
	private isCorked = false;

	constructor(private readonly options: PeerLinkOptions) {
		const now = options.clock.now();
		this.dialled = options.dialled;
		this.openedAt = now;
		this.lastReceivedAt = now;
		this.lastSentAt = now;
		this.lastUsedAt = now;
		this.decoder = new wire.frames.FrameDecoder(options.maxFrameBytes);
		options.socket.setNoDelay(true);
		options.socket.on('data', chunk => {
			this.handleData(chunk);
		});
		options.socket.on('error', () => {
			options.socket.destroy();
		});
		options.socket.on('close', () => {
			options.listener.onClose(this);
		});
	}

	get isClosed(): boolean {
		return this.options.socket.destroyed;
	}

	/** Queues a frame; returns false when nothing was queued because the link is closed or too much waits already. */
	sendFrame(frame: Uint8Array, countsAsUse: boolean): boolean {
		const {socket, maxBufferedBytes} = this.options;
		if (socket.destroyed || socket.writableEnded || socket.writableLength + frame.length > maxBufferedBytes) {
			return false;
		}

		this.cork();
		socket.write(frame);
		this.bytesSent += frame.length;
		this.lastSentAt = this.options.clock.now();
		if (countsAsUse) {
			this.lastUsedAt = this.lastSentAt;
		}

		return true;
	}

	/** Sends what waits and closes in order. */
	end(): void {
		this.options.socket.end();
	}

	/** Closes at once. */
	destroy(): void {
		this.options.socket.destroy();
	}

	/** Joins frames that are sent in the same turn of the event loop into one write. */
	private cork(): void {
		if (this.isCorked) {
			return;
		}

		this.isCorked = true;
		this.options.socket.cork();
		setImmediate(() => {
			this.isCorked = false;
			this.options.socket.uncork();
		});
	}

	private handleData(chunk: Uint8Array): void {
		this.bytesReceived += chunk.length;
		this.lastReceivedAt = this.options.clock.now();
		const failure = this.decoder.push(chunk, message => {
			this.handleMessage(message);
		});
		if (failure !== undefined && !this.isClosed) {
			this.options.socket.destroy();
			this.options.listener.onBadFrame(this, failure);
		}
	}

	private handleMessage(message: wire.frames.FrameMessage): void {
		if (this.isClosed) {
			return;
		}

		if (message.type !== wire.peer.PeerMessageType.Heartbeat) {
			this.lastUsedAt = this.lastReceivedAt;
		}

		this.options.listener.onMessage(this, message);
	}
}
