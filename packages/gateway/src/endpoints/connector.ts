import * as http from 'node:http';
import type * as net from 'node:net';
import type * as core from '@bluebellmast/core';
import * as undici from 'undici';

/** Status of a VM's response if the endpoint refused the connection. */
export const refusedStatus = 502;
/** Status of a VM's response if it doesn't reach the endpoint either. */
export const unreachedStatus = 504;

/** Opens connections to one endpoint. */
export interface Connector { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** VM through which the connection goes; absent for a direct one. */
	readonly helper?: string;
	connect(options: undici.buildConnector.Options, callback: undici.buildConnector.Callback): void;
}

/** Opens direct connections. */
export class DirectConnector implements Connector {
	readonly #connect: ReturnType<typeof undici.buildConnector>;

	constructor(timeoutMs: number) {
		this.#connect = undici.buildConnector({timeout: timeoutMs});
	}

	connect(options: undici.buildConnector.Options, callback: undici.buildConnector.Callback): void {
		this.#connect(options, callback);
	}
}

/** A VM that did not open a connection to an endpoint; nothing was sent to the endpoint. */
export class TunnelError extends Error {
	/** Whether the VM has tried to connect to the endpoint and failed. */
	readonly isEndpointFault: boolean;

	/** @param status - HTTP status of the VM; 0 if it did not respond. */
	constructor(readonly helper: string, readonly status: number, detail: string) {
		super(`${helper}: ${detail}`);
		this.name = 'TunnelError';
		this.isEndpointFault = status === refusedStatus || status === unreachedStatus;
	}
}

/** A VM and the address at which it opens connections for others. */
export type TunnelTarget = {
	readonly vm: string;
	/** `IP:PORT`. */
	readonly address: string;
};

/** Options of a {@link TunnelConnector}. */
export type TunnelOptions = {
	readonly timeoutMs: number;
	readonly onFailed: (err: TunnelError) => void;
};

/** Opens connections through another VM, which relays their bytes (HTTP CONNECT). */
export class TunnelConnector implements Connector {
	readonly helper: string;

	constructor(private readonly target: TunnelTarget, private readonly endpoint: core.fleet.EndpointEntry, private readonly options: TunnelOptions) {
		this.helper = target.vm;
	}

	connect(_options: undici.buildConnector.Options, callback: undici.buildConnector.Callback): void {
		void this.#open(callback);
	}

	async #open(callback: undici.buildConnector.Callback): Promise<void> {
		try {
			callback(null, await openTunnel(this.target, this.endpoint, this.options.timeoutMs));
		} catch (err) {
			this.options.onFailed(err as TunnelError);
			callback(err as Error, null);
		}
	}
}

/** Headers that name the incarnation of an endpoint; the VM that connects uses the address that it has itself. */
const endpointHeader = 'endpoint-id';
const bornAtHeader = 'endpoint-born';

/** Returns the headers that name the endpoint of a tunnel. */
function encodeTunnelEnd({id, bornAt}: core.fleet.EndpointIncarnation): http.OutgoingHttpHeaders {
	return {[endpointHeader]: encodeURIComponent(id), [bornAtHeader]: bornAt};
}

/** Returns the endpoint that the headers of a CONNECT request name; `undefined` if they name none. */
export function decodeTunnelEnd(headers: http.IncomingHttpHeaders): core.fleet.EndpointIncarnation | undefined {
	const {[endpointHeader]: id, [bornAtHeader]: bornAt} = headers;
	if (typeof id !== 'string' || typeof bornAt !== 'string') {
		return undefined;
	}

	try {
		return {id: decodeURIComponent(id), bornAt: Number(bornAt)};
	} catch {
		// Not encoded as a component of a URI.
		return undefined;
	}
}

/** Opens a connection to an endpoint through another VM; rejects with a {@link TunnelError}. */
export async function openTunnel({vm, address}: TunnelTarget, endpoint: core.fleet.EndpointEntry, timeoutMs: number): Promise<net.Socket> {
	const [host, port] = address.split(':');
	return new Promise((resolve, reject) => {
		const req = http.request({
			host, port: Number(port), method: 'CONNECT', path: endpoint.address, agent: false, headers: encodeTunnelEnd(endpoint),
		});
		const timer = setTimeout(() => {
			req.destroy(new Error('no response'));
		}, timeoutMs);
		req.once('connect', (res, socket: net.Socket, head) => {
			clearTimeout(timer);
			if (res.statusCode !== 200) {
				socket.destroy();
				reject(new TunnelError(vm, res.statusCode ?? 0, `status ${res.statusCode}`));
				return;
			}

			socket.setNoDelay(true);
			if (head.length > 0) {
				socket.unshift(head);
			}

			resolve(socket);
		});
		req.once('error', err => {
			clearTimeout(timer);
			reject(new TunnelError(vm, 0, err.message));
		});
		req.end();
	});
}
