import * as undici from 'undici';
import * as callDeadline from '../timeouts/call-deadline.js';
import type * as vmList from './vm-list.js';

/** Options of `HttpVmListClient`. */
export type HttpVmListClientOptions = {
	/** Base URL of the platform's VM list service, such as `http://10.0.0.1:8080`. */
	readonly baseUrl: string;
	/** Timeout of a call in milliseconds; default 1,000. */
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

/** Reads the list of VMs from `GET /v1/vms`, which returns a JSON array. */
export class HttpVmListClient implements vmList.VmListClient {
	readonly #pool: undici.Pool;
	readonly #timeoutMs: number;

	constructor(options: HttpVmListClientOptions) {
		this.#timeoutMs = options.timeoutMs ?? defaultTimeoutMs;
		this.#pool = new undici.Pool(options.baseUrl);
	}

	/** Returns the well-formed entries of the list, or `undefined` on a timeout, a failure or a response that is no list. */
	async list(): Promise<readonly vmList.ListedVm[] | undefined> {
		const deadline = new callDeadline.CallDeadline(this.#timeoutMs);
		try {
			const res = await this.#pool.request({method: 'GET', path: '/v1/vms', signal: deadline.signal});
			const body: unknown = await res.body.json();
			return res.statusCode === 200 && Array.isArray(body) ? body.filter(vm => isListedVm(vm)) : undefined;
		} catch {
			return undefined;
		} finally {
			deadline.clear();
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}

/** Creates an `HttpVmListClient`. */
export function createHttpVmListClient(options: HttpVmListClientOptions): HttpVmListClient {
	return new HttpVmListClient(options);
}
