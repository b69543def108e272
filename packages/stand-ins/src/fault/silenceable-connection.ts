import type * as net from 'node:net';
import * as stream from 'node:stream';
import * as resetSocket from './reset-socket.js';

/** A TCP connection that can be silenced: data in both directions is discarded while the connection stays open. */
export class SilenceableConnection extends stream.Duplex {
	#isSilent = false;

	constructor(private readonly socket: net.Socket) {
		super({allowHalfOpen: true});
		socket.on('data', data => {
			if (!this.#isSilent && !this.push(data)) {
				socket.pause();
			}
		});
		socket.on('end', () => {
			if (!this.#isSilent) {
				this.push(null);
			}
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			if (!this.#isSilent) {
				this.destroy();
			}
		});
	}

	/** Port of the other end, or undefined once the connection is closed. */
	get remotePort(): number | undefined {
		return this.socket.remotePort;
	}

	/** Discards all data in both directions from now on. */
	silence(): void {
		this.#isSilent = true;
		this.socket.resume();
	}

	/** Closes the TCP connection with a reset. */
	reset(): void {
		resetSocket.resetSocket(this.socket);
		this.destroy();
	}

	/** Does nothing; the HTTP server calls it on its sockets. */
	setTimeout(): this {
		return this;
	}

	/** Does nothing; the HTTP server calls it on its sockets. */
	setNoDelay(): this {
		return this;
	}

	/** Does nothing; the HTTP server calls it on its sockets. */
	setKeepAlive(): this {
		return this;
	}

	override _read(): void {
		this.socket.resume();
	}

	override _write(data: Uint8Array, _encoding: string, done: (err?: Error) => void): void {
		if (this.#isSilent || this.socket.destroyed) {
			done();
			return;
		}

		if (this.socket.write(data)) {
			done();
			return;
		}

		this.#callWhenWritable(done);
	}

	override _final(done: () => void): void {
		if (!this.#isSilent) {
			this.socket.end();
		}

		done();
	}

	override _destroy(err: Error | null, done: (err: Error | null) => void): void { // eslint-disable-line @typescript-eslint/no-restricted-types
		if (!this.#isSilent) {
			this.socket.destroy();
		}

		done(err);
	}

	#callWhenWritable(done: () => void): void {
		const finish = () => {
			this.socket.off('drain', finish);
			this.socket.off('close', finish);
			done();
		};

		this.socket.once('drain', finish);
		this.socket.once('close', finish);
	}
}
