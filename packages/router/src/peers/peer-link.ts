import type * as net from 'node:net';
import * as wire from '@bluebellmast/wire';
import type * as clock from '../util/clock.js';
import type * as runningTime from './running-time.js';

/** Listener for the events of a link. */
export type PeerLinkListener = {
	onMessage(link: PeerLink, message: wire.frames.FrameMessage): void;
	/** Called for an invalid frame; the link is being closed already. */
	onBadFrame(link: PeerLink, failure: wire.frames.FrameError): void;
	onClose(link: PeerLink): void;
};

/** Options of a `PeerLink`. */
export type PeerLinkOptions = {
	readonly socket: net.Socket;
	/** Whether this end opened the connection. */
	readonly dialled: boolean;
	readonly clock: clock.Clock;
	/** Running time of this process, in which the silence of the link is measured. */
	readonly runningTime: runningTime.RunningTime;
	readonly maxFrameBytes: number;
	/** Maximum number of bytes buffered in the socket; sends beyond it are refused. */
	readonly maxBufferedBytes: number;
	readonly listener: PeerLinkListener;
};

/** One TCP connection to another router. */
export class PeerLink {
	/** The hello of the other end; `undefined` until it is received. */
	hello: wire.peer.Hello | undefined;
	/** Whether this end opened the link to replace a silent one; sent in its hello. */
	replacesSilentLink = false;
	readonly dialled: boolean;
	readonly openedAt: number;
	lastSentAt: number;
	/** When a message other than a heartbeat was last sent or received, or when the link became inactive. */
	lastUsedAt: number;
	bytesSent = 0;
	bytesReceived = 0;

	/** Running time at which the link was opened, in milliseconds. */
	private readonly openedRunningMs: number;
	/** Running time at which data was last received, in milliseconds. */
	private lastReceivedRunningMs: number;
	private readonly decoder: wire.frames.FrameDecoder;
	private isCorked = false;

	constructor(private readonly options: PeerLinkOptions) {
		const now = options.clock.now();
		this.dialled = options.dialled;
		this.openedAt = now;
		this.openedRunningMs = options.runningTime.elapsedMs(now);
		this.lastReceivedRunningMs = this.openedRunningMs;
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

	/** Returns for how long this process was running since the link was opened, in milliseconds. */
	openMs(now: number): number {
		return this.options.runningTime.elapsedMs(now) - this.openedRunningMs;
	}

	/** Returns for how long this process was running without receiving data on the link, in milliseconds. */
	silenceMs(now: number): number {
		return this.options.runningTime.elapsedMs(now) - this.lastReceivedRunningMs;
	}

	/**
	 * Queues a frame. Returns false, without queueing it, if the link is closed or its buffer is full.
	 *
	 * @param countsAsUse - Whether the frame keeps an idle link open; false for heartbeats.
	 */
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

	/** Sends the buffered frames, then closes the link. */
	end(): void {
		this.options.socket.end();
	}

	/** Closes the link immediately; buffered frames are discarded. */
	destroy(): void {
		this.options.socket.destroy();
	}

	/** Combines the frames that are sent in one iteration of the event loop into one write. */
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
		const now = this.options.clock.now();
		this.lastReceivedRunningMs = this.options.runningTime.elapsedMs(now);
		const failure = this.decoder.push(chunk, message => {
			this.handleMessage(message, now);
		});
		if (failure !== undefined && !this.isClosed) {
			this.options.socket.destroy();
			this.options.listener.onBadFrame(this, failure);
		}
	}

	private handleMessage(message: wire.frames.FrameMessage, now: number): void {
		if (this.isClosed) {
			return;
		}

		if (message.type !== wire.peer.PeerMessageType.Heartbeat) {
			this.lastUsedAt = now;
		}

		this.options.listener.onMessage(this, message);
	}
}
