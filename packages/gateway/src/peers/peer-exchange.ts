import * as dgram from 'node:dgram';
import type * as core from '@bluebellmast/core';
import * as eventLog from '../util/event-log.js';
import type * as listen from '../util/listen.js';
import * as digestCodec from './digest-codec.js';
import * as quotaCodec from './quota-codec.js';

/** Options of {@link PeerExchange}. */
export type PeerExchangeOptions = {
	/** Address at which digests of other VMs are received. */
	readonly listen: listen.ListenAddress;
	readonly log: eventLog.EventLog;
	readonly onDigest: (digest: core.fleet.LoadDigest) => void;
	/** Called with a message on quotas and the address of its sender, as `IP:PORT`. */
	readonly onQuotaMessage: (message: quotaCodec.QuotaMessage, address: string) => void;
};

/**
 * Sends digests of this VM's load, and messages on quotas, to other VMs and receives theirs, as UDP datagrams. Each digest is self-contained, so lost
 * ones need not be sent again; lost messages on quotas are sent again by their sender.
 */
export class PeerExchange {
	readonly #socket = dgram.createSocket('udp4');

	constructor(private readonly options: PeerExchangeOptions) {
		this.#socket.on('message', (bytes, sender) => {
			this.#receive(digestCodec.decodeDatagram(bytes), `${sender.address}:${sender.port}`);
		});
		this.#socket.on('error', err => {
			options.log.write(eventLog.LogEvent.InternalError, {task: 'peer exchange', problem: err.message});
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

	/** Port on which the messages of other VMs are received. */
	get port(): number {
		return this.#socket.address().port;
	}

	/** Address at which other VMs reach this one, as `IP:PORT`. */
	get address(): string {
		const {address, port} = this.#socket.address();
		return `${address}:${port}`;
	}

	/** Sends a digest to other VMs, given as `IP:PORT`. */
	send(digest: core.fleet.LoadDigest, addresses: readonly string[]): void {
		const bytes = digestCodec.encodeDigest(digest);
		for (const address of addresses) {
			this.#send(bytes, address, 'load digest');
		}
	}

	/** Sends a message on quotas to another VM, given as `IP:PORT`. */
	sendQuotaMessage(message: quotaCodec.QuotaMessage, address: string): void {
		this.#send(quotaCodec.encodeQuotaMessage(message), address, 'quota message');
	}

	/** Closes the socket. */
	close(): void {
		this.#socket.close();
	}

	#receive(message: unknown, address: string): void {
		const digest = digestCodec.toDigest(message);
		if (digest !== undefined) {
			this.options.onDigest(digest);
			return;
		}

		const quotaMessage = quotaCodec.toQuotaMessage(message);
		if (quotaMessage !== undefined) {
			this.options.onQuotaMessage(quotaMessage, address);
		}
	}

	#send(bytes: Uint8Array, address: string, task: string): void {
		const [host, port] = address.split(':');
		this.#socket.send(bytes, Number(port), host, err => {
			if (err !== null) {
				this.options.log.write(eventLog.LogEvent.InternalError, {task, peer: address, problem: err.message});
			}
		});
	}
}
