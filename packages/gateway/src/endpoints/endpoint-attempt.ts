import * as core from '@bluebellmast/core';
import type * as undici from 'undici';
import type * as ports from '../ports/index.js';
import type * as connectionPool from './connection-pool.js';
import type * as endpointConnection from './endpoint-connection.js';

/** Why an attempt ended without a whole answer. */
export enum AttemptFault {
	/** No connection could be opened. */
	ConnectFailed = 'connect_failed',
	/** Nothing listens at the endpoint's address. */
	ConnectRefused = 'connect_refused',
	/** All connections that this VM may open to the endpoint are busy. */
	NoConnection = 'no_connection',
	/** The endpoint refused the request without running it. */
	Refused = 'refused',
	/** The connection ended before the answer was whole. */
	ConnectionLost = 'connection_lost',
	/** The answer names another request. */
	WrongResponse = 'wrong_answer',
	/** A success without the endpoint's signature. */
	Unsigned = 'unsigned',
	/** The endpoint answered with a failure that is not passed on, since the request goes to another one. */
	ErrorResponse = 'answered_with_failure',
	/** The caller has gone. */
	CallerDisconnected = 'caller_gone',
	/** The time for the request is over. */
	TimedOut = 'timed_out',
	/** The endpoint sent nothing for too long. */
	EndpointSilent = 'endpoint_silent',
}

/** Framing and headers of an answer as received. */
export type RawResponse = {
	/** Header names and values by turns. */
	readonly headers: readonly Uint8Array[];
	/** Whether the answer states where it ends; otherwise it ends with its connection. */
	readonly isFramed: boolean;
};

/** Receives the answer of an attempt. */
export interface ResponseSink { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/**
	 * Takes the head of an answer that belongs to the request.
	 *
	 * @returns Whether the body is wanted; otherwise the answer is read to its end and dropped.
	 */
	onHead(head: ports.ResponseHead, raw: RawResponse): boolean;
	/** Takes a piece of the body. @returns Whether more may follow now; {@link EndpointAttempt.resume} goes on. */
	onData(chunk: Uint8Array): boolean;
}

/** How an attempt ended. */
export type AttemptResult = {
	readonly progress: core.request.AttemptProgress;
	/** Absent when the answer arrived whole. */
	readonly fault?: AttemptFault;
	readonly head?: ports.ResponseHead;
	/** Reason in the words of the library that failed. */
	readonly detail?: string;
};

/** What an attempt sends. */
export type AttemptRequest = {
	readonly method: string;
	readonly target: string;
	readonly requestId: string;
	readonly headers: string[];
	readonly body?: Uint8Array;
};

class AbortedError extends Error {
	constructor(readonly fault: AttemptFault) {
		super(fault);
		this.name = 'AbortedError';
	}
}

/** What an attempt works with. */
export type AttemptOptions = {
	/** Pool to which the connection belongs. */
	readonly pool: connectionPool.ConnectionPool;
	readonly connection: endpointConnection.EndpointConnection;
	readonly protocol: ports.EndpointProtocol;
	readonly request: AttemptRequest;
	readonly sink: ResponseSink;
	readonly steadyNow: () => number;
};

/** One send of a request to one endpoint over one connection. */
export class EndpointAttempt implements undici.Dispatcher.DispatchHandler {
	/** How far the attempt has come. */
	progress = core.request.AttemptProgress.NotStarted;
	#controller: undici.Dispatcher.DispatchController | undefined;
	#abortFault: AttemptFault | undefined;
	#head: ports.ResponseHead | undefined;
	#wantsBody = false;
	#isFramed = true;
	#refusal: AttemptFault | undefined;
	#resolve: ((end: AttemptResult) => void) | undefined;
	#isEnded = false;

	constructor(private readonly parts: AttemptOptions) {}

	/** Sends the request. @returns How the attempt ended; never rejects. */
	async run(): Promise<AttemptResult> {
		return new Promise(resolve => {
			this.#resolve = resolve;
			this.progress = core.request.AttemptProgress.Connecting;
			const {method, target, headers, body} = this.parts.request;
			this.parts.connection.dispatch({
				method, path: target, headers, body: body ?? null,
			}, this);
		});
	}

	/** Ends the attempt: its connection is closed, which makes the endpoint stop its work. */
	abort(fault: AttemptFault): void {
		if (this.#isEnded || this.#abortFault !== undefined) {
			return;
		}

		this.#abortFault = fault;
		if (this.#controller === undefined) {
			this.#end({progress: this.progress, fault});
			return;
		}

		this.#controller.abort(new AbortedError(fault));
	}

	/** Goes on reading after {@link ResponseSink.onData} returned `false`. */
	resume(): void {
		this.#controller?.resume();
	}

	onRequestStart(controller: undici.Dispatcher.DispatchController): void {
		if (this.#isEnded) {
			controller.abort(new AbortedError(this.#abortFault ?? AttemptFault.CallerDisconnected));
			return;
		}

		this.#controller = controller;
		this.progress = core.request.AttemptProgress.MaybeSent;
	}

	onResponseStart(controller: undici.Dispatcher.DispatchController, status: number, headers: ports.ParsedHeaders): void {
		if (status < 200 || this.#isEnded) {
			return;
		}

		const head = this.parts.protocol.decodeResponseHead(status, headers);
		this.#head = head;
		this.#isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
		const fault = this.#findFault(head);
		if (fault !== undefined) {
			this.abort(fault);
			return;
		}

		if (head.isNotExecuted) {
			this.progress = core.request.AttemptProgress.RefusedBeforeExecution;
			this.#refusal = AttemptFault.Refused;
			return;
		}

		this.progress = core.request.AttemptProgress.ResponseStarted;

		const {rawHeaders} = controller as unknown as {readonly rawHeaders: readonly Uint8Array[]};
		this.#wantsBody = this.parts.sink.onHead(head, {headers: rawHeaders, isFramed: this.#isFramed});
		if (!this.#wantsBody) {
			this.#refusal = AttemptFault.ErrorResponse;
		}
	}

	onResponseData(controller: undici.Dispatcher.DispatchController, chunk: Uint8Array): void {
		if (this.#wantsBody && !this.#isEnded && !this.parts.sink.onData(chunk)) {
			controller.pause();
		}
	}

	onResponseEnd(): void {
		if (!this.#isFramed && !this.parts.connection.hasEndedCleanly) {
			this.#end({
				progress: this.progress, fault: AttemptFault.ConnectionLost, head: this.#head, detail: 'reset at the end',
			});
			return;
		}

		if (this.progress === core.request.AttemptProgress.ResponseStarted) {
			this.progress = core.request.AttemptProgress.ResponseComplete;
		}

		this.#end({progress: this.progress, fault: this.#refusal, head: this.#head});
	}

	onResponseError(_controller: undici.Dispatcher.DispatchController | undefined, err: Error): void {
		const connectFailed = this.progress === core.request.AttemptProgress.Connecting;
		const fault = this.#abortFault
			?? this.#refusal
			?? (connectFailed ? connectFault(err) : AttemptFault.ConnectionLost);
		this.#end({
			progress: this.progress, fault, head: this.#head, detail: err.message,
		});
	}

	#findFault(head: ports.ResponseHead): AttemptFault | undefined {
		if (head.requestId !== undefined && head.requestId !== this.parts.request.requestId) {
			return AttemptFault.WrongResponse;
		}

		return head.status < 300 && (!head.isSigned || head.requestId === undefined) ? AttemptFault.Unsigned : undefined;
	}

	#end(end: AttemptResult): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		const isReusable = end.fault === undefined || end.fault === AttemptFault.Refused
			|| end.fault === AttemptFault.ErrorResponse;
		if (isReusable) {
			this.parts.pool.release(this.parts.connection, this.parts.steadyNow());
		} else {
			this.parts.pool.discard(this.parts.connection);
		}

		this.#resolve?.(end);
	}
}

function connectFault(err: NodeJS.ErrnoException): AttemptFault {
	return err.code === 'ECONNREFUSED' ? AttemptFault.ConnectRefused : AttemptFault.ConnectFailed;
}
