import * as dgram from 'node:dgram';
import type * as core from '@bluebellmast/core';
import * as eventLog from '../util/event-log.js';
import type * as listen from '../util/listen.js';
import * as digestCodec from './digest-codec.js';

/** Options of {@link LoadExchange}. */
export type LoadExchangeOptions = {
	/** Address at which digests of other VMs are received. */
	readonly listen: listen.ListenAddress;
	readonly log: eventLog.EventLog;
	readonly onDigest: (digest: core.fleet.LoadDigest) => void;
};

/**
 * Sends digests of this VM's load to other VMs and receives theirs, as UDP datagrams. Each digest is self-contained, so lost
 * ones need not be sent again.
 */
export class LoadExchange {
	readonly #socket = dgram.createSocket('udp4');

	constructor(private readonly options: LoadExchangeOptions) {
		this.#socket.on('message', message => {
			const digest = digestCodec.decodeDigest(message);
			if (digest !== undefined) {
				options.onDigest(digest);
			}
		});
		this.#socket.on('error', err => {
			options.log.write(eventLog.LogEvent.InternalError, {task: 'load exchange', problem: err.message});
		});
	}

	/** Starts listening; rejects if the socket can't bind to the address. */
	async listen(): Promise<void> {
		return new Promise((resolve, reject) => {
			this.#socket.once('error', reject);
			this.#socket.bind(this.options.listen.port, this.options.listen.host, () => {
				this.#socket.off('error', reject);
				resolve();
			});
		});
	}

	/** Address at which other VMs reach this one, as `IP:PORT`. */
	get address(): string {
		const {address, port} = this.#socket.address();
		return `${address}:${port}`;
	}

	/** Sends a digest to other VMs, given as `IP:PORT`. */
	send(digest: core.fleet.LoadDigest, addresses: readonly string[]): void {
		const message = digestCodec.encodeDigest(digest);
		for (const address of addresses) {
			const [host, port] = address.split(':');
			this.#socket.send(message, Number(port), host, err => {
				if (err !== null) {
					this.options.log.write(eventLog.LogEvent.InternalError, {task: 'load digest', peer: address, problem: err.message});
				}
			});
		}
	}

	/** Closes the socket. */
	close(): void {
		this.#socket.close();
	}
}
