import * as purify from 'purify-ts';
import * as undici from 'undici';
import * as callDeadline from '../timeouts/call-deadline.js';
import * as etcdProtocol from './etcd-protocol.js';
import type * as kvCallType from './kv-call-type.js';
import * as kvError from './kv-error.js';

/** Options of `EtcdTransport`. */
export type EtcdTransportOptions = {
	/** Base URLs, tried in this order, starting with the one that responded last or follows one that did not respond. */
	readonly baseUrls: readonly string[];
	readonly callTimeoutMs: number;
	readonly connectTimeoutMs: number;
	readonly onCall: (type: kvCallType.KvCallType) => void;
};

/** A call to the key-value service. */
export type EtcdCall = {
	readonly type: kvCallType.KvCallType;
	readonly path: string;
	readonly body: unknown;
	/** Whether the call changes state, so that its outcome is unknown when the response is lost. */
	readonly isWrite: boolean;
};

/** Reason for which the caller aborts a stream that it no longer needs, regardless of whether the service responds. */
export class StreamClosedError extends Error {
	constructor() {
		super('the stream was closed');
		this.name = 'StreamClosedError';
	}
}

const connectErrorCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT',
]);

function isConnectError(err: unknown): boolean {
	const {code, syscall} = err as {code?: string; syscall?: string};
	return connectErrorCodes.has(code ?? '') || syscall === 'connect';
}

function createError(code: kvError.KvErrorCode, message: string): purify.Either<kvError.KvError, never> {
	return purify.Left({code, message});
}

/** Sends calls to the first base URL that responds, over one connection pool for each URL. */
export class EtcdTransport {
	readonly #pools: undici.Pool[];
	/** Replaced pools, which accept no new calls and close when their pending calls have ended. */
	readonly #drainingPools = new Set<undici.Pool>();
	#preferredIndex = 0;

	constructor(private readonly options: EtcdTransportOptions) {
		this.#pools = options.baseUrls.map(url => this.#createPool(url));
	}

	/** Sends a call and returns the parsed JSON body. Another base URL is tried only when the call had no effect on the last. */
	async call<ResponseBody>(call: EtcdCall): Promise<purify.Either<kvError.KvError, ResponseBody>> {
		const deadline = new callDeadline.CallDeadline(this.options.callTimeoutMs);
		try {
			return await this.#callUntil<ResponseBody>(call, deadline.signal);
		} finally {
			deadline.clear();
		}
	}

	/**
	 * Opens a streaming call; the caller reads `body` and aborts it by `signal`.
	 *
	 * @throws Error when the call fails or is aborted; the next call starts with the next base URL, unless the reason of the abort
	 * is a {@link StreamClosedError}.
	 */
	async openStream(call: EtcdCall, signal: AbortSignal): Promise<undici.Dispatcher.ResponseData> {
		const index = this.#preferredIndex;
		this.options.onCall(call.type);
		try {
			return await this.#pools[index]!.request({
				method: 'POST', path: call.path, body: JSON.stringify(call.body), signal,
			});
		} catch (err) {
			if (!(signal.reason instanceof StreamClosedError)) {
				this.#preferNextAfter(index);
			}

			throw err;
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all([...this.#pools, ...this.#drainingPools].map(async pool => pool.destroy()));
	}

	async #callUntil<ResponseBody>(call: EtcdCall, deadline: AbortSignal): Promise<purify.Either<kvError.KvError, ResponseBody>> {
		let result = createError(kvError.KvErrorCode.NotSent, 'no base URL is configured');
		const first = this.#preferredIndex;
		for (let attempt = 0; attempt < this.#pools.length && !deadline.aborted; attempt++) {
			const index = (first + attempt) % this.#pools.length;
			const response = await this.#sendTo<ResponseBody>(this.#pools[index]!, call, deadline); // eslint-disable-line no-await-in-loop
			if (deadline.aborted) {
				// Connected but silent: the next call starts with the next base URL.
				this.#preferNextAfter(index);
				return response;
			}

			if (response.isRight() || (response.extract() as kvError.KvError).code !== kvError.KvErrorCode.NotSent) {
				this.#preferredIndex = index;
				return response;
			}

			result = response as purify.Either<kvError.KvError, never>;
		}

		return result;
	}

	#preferNextAfter(index: number): void {
		this.#preferredIndex = (index + 1) % this.#pools.length;
	}

	#createPool(url: string): undici.Pool {
		return new undici.Pool(url, {
			connect: {timeout: this.options.connectTimeoutMs},
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	/** Replaces a pool after a call that timed out, since its other connections may be dead too. */
	#replacePool(pool: undici.Pool): void {
		const index = this.#pools.indexOf(pool);
		if (index === -1) {
			return;
		}

		this.#pools[index] = this.#createPool(this.options.baseUrls[index]!);
		void this.#drainPool(pool);
	}

	async #drainPool(pool: undici.Pool): Promise<void> {
		this.#drainingPools.add(pool);
		await pool.close();
		this.#drainingPools.delete(pool);
	}

	async #sendTo<ResponseBody>(
		pool: undici.Pool,
		call: EtcdCall,
		signal: AbortSignal,
	): Promise<purify.Either<kvError.KvError, ResponseBody>> {
		this.options.onCall(call.type);
		try {
			const res = await pool.request({
				method: 'POST', path: call.path, body: JSON.stringify(call.body), signal,
			});
			const text = await res.body.text();
			return res.statusCode === 200
				? purify.Right(JSON.parse(text) as ResponseBody)
				: this.#toError(call, res.statusCode, text);
		} catch (err) {
			if (signal.aborted) {
				this.#replacePool(pool);
			}

			const isOutcomeUnknown = call.isWrite && !isConnectError(err);
			return createError(isOutcomeUnknown ? kvError.KvErrorCode.OutcomeUnknown : kvError.KvErrorCode.NotSent, String(err));
		}
	}

	#toError(call: EtcdCall, status: number, text: string): purify.Either<kvError.KvError, never> {
		const body = parseErrorBody(text);
		const message = body.message ?? `HTTP status ${status}`;
		if (status === 429 || body.code === etcdProtocol.GrpcStatusCode.ResourceExhausted) {
			return createError(kvError.KvErrorCode.RateLimited, message);
		}

		if (body.code === etcdProtocol.GrpcStatusCode.InvalidArgument && message.includes('too large')) {
			return createError(kvError.KvErrorCode.ValueTooLarge, message);
		}

		if (body.code === etcdProtocol.GrpcStatusCode.NotFound && message.includes('lease')) {
			return createError(kvError.KvErrorCode.LeaseLost, message);
		}

		return createError(call.isWrite ? kvError.KvErrorCode.OutcomeUnknown : kvError.KvErrorCode.NotSent, message);
	}
}

function parseErrorBody(text: string): etcdProtocol.EtcdErrorBody {
	try {
		return JSON.parse(text) as etcdProtocol.EtcdErrorBody;
	} catch {
		return {};
	}
}
