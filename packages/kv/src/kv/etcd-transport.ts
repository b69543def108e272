
import * as purify from 'purify-ts';
import * as undici from 'undici';
import * as etcdProtocol from './etcd-protocol.js';
import type * as kvCallType from './kv-call-type.js';
import * as kvError from './kv-error.js';

/** Options of the transport. */
export type EtcdTransportOptions = {
	/** Base URLs, tried in this order, starting from the one that answered last. */
	readonly baseUrls: readonly string[];
	readonly callTimeoutMs: number;
	readonly connectTimeoutMs: number;
	readonly onCall: (type: kvCallType.KvCallType) => void;
};

/** One call. */
export type EtcdCall = {
	readonly type: kvCallType.KvCallType;
	readonly path: string;
	readonly body: unknown;
	/** Whether the call changes state, so that a lost answer leaves its outcome unknown. */
	readonly writes: boolean;
};

const connectErrorCodes: ReadonlySet<string> = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'EADDRNOTAVAIL', 'UND_ERR_CONNECT_TIMEOUT',
]);

function isNeverSent(err: unknown): boolean {
	const {code, syscall} = err as {code?: string; syscall?: string};
	return connectErrorCodes.has(code ?? '') || syscall === 'connect';
}

function failure(code: kvError.KvErrorCode, message: string): purify.Either<kvError.KvError, never> {
	return purify.Left({code, message});
}

/** Carries calls to the first base URL that accepts them. */
export class EtcdTransport {
	readonly #agents: undici.Pool[];
	/** Pools that take no new calls and end with those under way. */
	readonly #retired = new Set<undici.Pool>();
	#current = 0;

	constructor(private readonly options: EtcdTransportOptions) {
		this.#agents = options.baseUrls.map(url => this.#createPool(url));
	}

	/** Makes a call and returns the parsed JSON body. */
	async call<Answer>(call: EtcdCall): Promise<purify.Either<kvError.KvError, Answer>> {
		const deadline = AbortSignal.timeout(this.options.callTimeoutMs);
		let result = failure(kvError.KvErrorCode.NotSent, 'no base URL');
		const first = this.#current;
		for (let tries = 0; tries < this.#agents.length && !deadline.aborted; tries++) {
			const index = (first + tries) % this.#agents.length;
			const answer = await this.#callOne<Answer>(this.#agents[index]!, call, deadline); // eslint-disable-line no-await-in-loop
			if (answer.isRight() || (answer.extract() as kvError.KvError).code !== kvError.KvErrorCode.NotSent) {
				this.#current = index;
				return answer;
			}

			result = answer as purify.Either<kvError.KvError, never>;
		}

		return result;
	}

	/** Opens a stream; the caller reads `body` and ends it by `signal`. */
	async open(call: EtcdCall, signal: AbortSignal): Promise<undici.Dispatcher.ResponseData> {
		const index = this.#current;
		this.options.onCall(call.type);
		try {
			return await this.#agents[index]!.request({
				method: 'POST', path: call.path, body: JSON.stringify(call.body), signal,
			});
		} catch (err) {
			this.#current = (index + 1) % this.#agents.length;
			throw err;
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all([...this.#agents, ...this.#retired].map(async agent => agent.destroy()));
	}

	#createPool(url: string): undici.Pool {
		return new undici.Pool(url, {
			connect: {timeout: this.options.connectTimeoutMs},
			pipelining: 1,
			headersTimeout: 0,
			bodyTimeout: 0,
		});
	}

	/** After a call without an answer in time, no other connection of its pool is used again: they may be silent too. */
	#retire(agent: undici.Pool): void {
		const index = this.#agents.indexOf(agent);
		if (index === -1) {
			return;
		}

		this.#agents[index] = this.#createPool(this.options.baseUrls[index]!);
		void this.#closeRetired(agent);
	}

	async #closeRetired(agent: undici.Pool): Promise<void> {
		this.#retired.add(agent);
		await agent.close();
		this.#retired.delete(agent);
	}

	async #callOne<Answer>(
		agent: undici.Pool,
		call: EtcdCall,
		signal: AbortSignal,
	): Promise<purify.Either<kvError.KvError, Answer>> {
		this.options.onCall(call.type);
		try {
			const res = await agent.request({
				method: 'POST', path: call.path, body: JSON.stringify(call.body), signal,
			});
			const text = await res.body.text();
			return res.statusCode === 200
				? purify.Right(JSON.parse(text) as Answer)
				: this.#refused(call, res.statusCode, text);
		} catch (err) {
			if (signal.aborted) {
				this.#retire(agent);
			}

			const lost = call.writes && !isNeverSent(err);
			return failure(lost ? kvError.KvErrorCode.OutcomeUnknown : kvError.KvErrorCode.NotSent, String(err));
		}
	}

	#refused(call: EtcdCall, status: number, text: string): purify.Either<kvError.KvError, never> {
		const body = parseFailure(text);
		const message = body.message ?? `status ${status}`;
		if (status === 429 || body.code === etcdProtocol.EtcdStatus.ResourceExhausted) {
			return failure(kvError.KvErrorCode.RateLimited, message);
		}

		if (body.code === etcdProtocol.EtcdStatus.InvalidArgument && message.includes('too large')) {
			return failure(kvError.KvErrorCode.ValueTooLarge, message);
		}

		if (body.code === etcdProtocol.EtcdStatus.NotFound && message.includes('lease')) {
			return failure(kvError.KvErrorCode.LeaseLost, message);
		}

		return failure(call.writes ? kvError.KvErrorCode.OutcomeUnknown : kvError.KvErrorCode.NotSent, message);
	}
}

function parseFailure(text: string): etcdProtocol.EtcdFailure {
	try {
		return JSON.parse(text) as etcdProtocol.EtcdFailure;
	} catch {
		return {};
	}
}
