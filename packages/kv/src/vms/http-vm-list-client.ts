import * as undici from 'undici';
import type * as vmList from './vm-list.js';

/** Options of the client. */
export type HttpVmListClientOptions = {
	/** Base URL of the platform's list, such as `http://10.0.0.1:8080`. */
	readonly baseUrl: string;
	/** Milliseconds that a call may take; default 1,000. */
	readonly timeoutMs?: number;
};

const defaultTimeoutMs = 1000;

function isListedVm(value: unknown): value is vmList.ListedVm {
	const vm = value as Partial<vmList.ListedVm> | undefined;
	return typeof vm?.vm === 'string'
		&& typeof vm.host === 'string'
		&& typeof vm.peerPort === 'number'
		&& typeof vm.dataCentre === 'string'
		&& typeof vm.leaving === 'boolean';
}

/** Reads the list by `GET /v1/vms`, a JSON array. */
export class HttpVmListClient implements vmList.VmListClient {
	readonly #pool: undici.Pool;
	readonly #timeoutMs: number;

	constructor(options: HttpVmListClientOptions) {
		this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
		this.#pool = new undici.Pool(options.baseUrl);
	}

	/** Returns the well-formed entries of the list, or `undefined` when no list came in time. */
	async list(): Promise<readonly vmList.ListedVm[] | undefined> {
		try {
			const signal = AbortSignal.timeout(this.#timeoutMs);
			const res = await this.#pool.request({method: 'GET', path: '/v1/vms', signal});
			const body: unknown = await res.body.json();
			return res.statusCode === 200 && Array.isArray(body) ? body.filter(vm => isListedVm(vm)) : undefined;
		} catch {
			return undefined;
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}

/** Creates a client. */
export function createHttpVmListClient(options: HttpVmListClientOptions): HttpVmListClient {
	return new HttpVmListClient(options);
}
