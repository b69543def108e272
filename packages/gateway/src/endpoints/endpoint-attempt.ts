import * as core from '@bluebellmast/core';
import type * as undici from 'undici';
import type * as ports from '../ports/index.js';
import * as stepScheduler from '../util/step-scheduler.js';
import type * as connectionPool from './connection-pool.js';
import * as connector from './connector.js';
import type * as endpointConnection from './endpoint-connection.js';
import * as responsePacer from './response-pacer.js';

/** Why no complete response of an attempt was passed on to the caller. */
export enum AttemptFault {
	/** No connection could be opened. */
	ConnectFailed = 'connect_failed',
	/** No process listens at the endpoint's address. */
	ConnectRefused = 'connect_refused',
	/** All connections that this VM may open to the endpoint are busy. */
	ConnectionLimitReached = 'no_connection',
	/** The endpoint refused the request without executing it. */
	Refused = 'refused',
	/** The connection was closed before the response was complete. */
	ConnectionLost = 'connection_lost',
	/** The response belongs to another request, or is a refusal that may do so. */
	WrongResponse = 'wrong_answer',
	/** A successful response has no signature of the endpoint or no request ID. */
	Unsigned = 'unsigned',
	/** The endpoint returned an error that is not passed on unless another endpoint, to which the request is sent, fails as well. */
	ErrorResponse = 'answered_with_failure',
	/** The ids of the events of a stream are not consecutive. */
	InvalidSequence = 'invalid_sequence',
	/** The endpoint sent more interim responses, or more bytes without the end of an event or beyond the body, than any sound one does. */
	EndlessResponse = 'endless_response',
	/** The caller closed its connection. */
	CallerDisconnected = 'caller_gone',
	/** The grace period of this process was over. */
	ProcessEnded = 'process_ended',
	/** The deadline of the request has passed. */
	TimedOut = 'timed_out',
	/** The endpoint sent nothing for too long. */
	EndpointSilent = 'endpoint_silent',
	/** Another attempt of the request made progress. */
	Superseded = 'superseded',
	/** The endpoint asked for a pause before the connection was open. */
	EndpointPaused = 'endpoint_paused',
	/** The direct path to the endpoint was found to be interrupted before the connection was open. */
	PathInterrupted = 'path_interrupted',
	/** The VM through which the endpoint was to be reached opened no connection. */
	TunnelFailed = 'tunnel_failed',
	/** The endpoint left before the connection was open. */
	EndpointLeft = 'endpoint_left',
	/** A part of the prompt was quarantined before the response had begun. */
	PartQuarantined = 'part_quarantined',
	/** The request did not start before the weights of the endpoint may no longer be used. */
	WeightsOutdated = 'weights_outdated',
}

/** Headers of a response, as received. */
export type RawResponse = {
	/** Header names and values, alternating. */
	readonly headers: readonly Uint8Array[];
};

/** Receives the response of an attempt. */
export interface ResponseSink { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/**
	 * Called with the head of a response that belongs to the request.
	 *
	 * @returns Whether the body is wanted; otherwise the response is read up to some size and time, so that its connection can be used again.
	 */
	onHead(head: ports.ResponseHead, raw: RawResponse): boolean;
	/** Called with a chunk of a body that is not wanted. */
	onDiscardedData(chunk: Uint8Array): void;
	/** Called with a chunk of the body. @returns Whether to continue reading; otherwise {@link EndpointAttempt.resume} continues. */
	onData(chunk: Uint8Array): boolean;
}

/** How an attempt ended. */
export type AttemptResult = {
	readonly progress: core.request.AttemptProgress;
	/** Absent if the complete response was received and passed on. */
	readonly fault?: AttemptFault;
	readonly head?: ports.ResponseHead;
	/** Error message for the log. */
	readonly detail?: string;
};

/** The request that an attempt sends. */
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

/** Statuses whose responses have no body (RFC 9110). */
const bodilessStatuses: ReadonlySet<number> = new Set([204, 304]);
/** Interim responses (status below 200) that an endpoint may send before its response. */
const maxInterimResponses = 16;
/** Size and time up to which the body of a response that is not relayed is read, so that its connection can be used again. */
const maxUnwantedBytes = 65_536;
const maxUnwantedMs = 200;

/** Options of an {@link EndpointAttempt}. */
export type AttemptOptions = {
	/** Pool that the connection belongs to. */
	readonly pool: connectionPool.ConnectionPool;
	readonly connection: endpointConnection.EndpointConnection;
	readonly protocol: ports.EndpointProtocol;
	readonly request: AttemptRequest;
	readonly sink: ResponseSink;
	/** Called with the head of each response, also of a refusal or an invalid one, as soon as it arrives. */
	readonly onHeadReceived: (head: ports.ResponseHead) => void;
	/** Called with each head of a response that belongs to the request, refusals included. */
	readonly onMatchingHead?: (head: ports.ResponseHead) => void;
	readonly monotonicNow: () => number;
	/** Runs the parsing of responses that cost much; one of its own by default. */
	readonly scheduler?: stepScheduler.StepScheduler;
	/** Called when the connection is open, just before the request is sent. @returns Why it may not be sent any more; absent if it may. */
	readonly findObstacle?: () => AttemptFault | undefined;
};

/** An attempt to execute a request at an endpoint over one connection. */
export class EndpointAttempt implements undici.Dispatcher.DispatchHandler, endpointConnection.ResponseProgress {
	progress = core.request.AttemptProgress.NotStarted;
	#controller: undici.Dispatcher.DispatchController | undefined;
	#abortFault: AttemptFault | undefined;
	#head: ports.ResponseHead | undefined;
	#wantsBody = false;
	/** Whether the response has no body, states its length or is chunked; otherwise it ends when the connection is closed. */
	#isFramed = true;
	#keepsConnection = true;
	#responseFault: AttemptFault | undefined;
	#resolve: ((result: AttemptResult) => void) | undefined;
	#isEnded = false;
	#interimCount = 0;
	#bodyBytes = 0;
	#unwantedBytes = 0;
	#unwantedTimer: NodeJS.Timeout | undefined;
	/** Whether the rest of an unwanted body is left unread, so that the connection can't be used again. */
	#isBodyAbandoned = false;
	readonly #pacer: responsePacer.ResponsePacer;

	constructor(private readonly options: AttemptOptions) {
		this.#pacer = new responsePacer.ResponsePacer({
			scheduler: options.scheduler ?? new stepScheduler.StepScheduler(options.monotonicNow),
			onData: bytes => this.#passOn(bytes),
			pause: () => {
				this.#controller?.pause();
			},
			resume: () => {
				this.#controller?.resume();
			},
		});
	}

	/** Whether the endpoint keeps the connection open after the response; otherwise a later close does not show that the endpoint has ended. */
	get keepsConnection(): boolean {
		return this.#isFramed && this.#keepsConnection;
	}

	/** Sends the request. @returns The result of the attempt; never rejects. */
	async run(): Promise<AttemptResult> {
		return new Promise(resolve => {
			this.#resolve = resolve;
			this.progress = core.request.AttemptProgress.Connecting;
			const {method, target, headers, body} = this.options.request;
			this.options.connection.dispatch({
				method, path: target, headers, body: body ?? null,
			}, this, this);
		});
	}

	/** Ends the attempt by closing its connection, which makes the endpoint stop working on the request. */
	abort(fault: AttemptFault): void {
		if (this.#isEnded || this.#abortFault !== undefined) {
			return;
		}

		this.#abortFault = fault;
		if (this.#controller === undefined) {
			this.#finish({progress: this.progress, fault});
			return;
		}

		this.#controller.abort(new AbortedError(fault));
	}

	/** Number of bytes of the response's body that have arrived. */
	get bodyBytes(): number {
		return this.#bodyBytes;
	}

	/** Ends the attempt, as the response has no end. */
	onEndless(): void {
		this.abort(AttemptFault.EndlessResponse);
	}

	/** Continues reading after {@link ResponseSink.onData} returned `false`. */
	resume(): void {
		this.#pacer.resume();
	}

	onRequestStart(controller: undici.Dispatcher.DispatchController): void {
		if (this.#isEnded) {
			controller.abort(new AbortedError(this.#abortFault ?? AttemptFault.CallerDisconnected));
			return;
		}

		const obstacle = this.options.findObstacle?.();
		if (obstacle !== undefined) {
			this.#abortFault = obstacle;
			controller.abort(new AbortedError(obstacle));
			return;
		}

		this.#controller = controller;
		this.progress = core.request.AttemptProgress.MaybeSent;
	}

	onResponseStart(controller: undici.Dispatcher.DispatchController, status: number, headers: ports.ParsedHeaders): void {
		if (this.#isEnded) {
			return;
		}

		if (status < 200) {
			this.#countInterimResponse();
			return;
		}

		const head = this.options.protocol.decodeResponseHead(status, headers);
		this.#head = head;
		this.options.onHeadReceived(head);
		const isHead = this.options.request.method === 'HEAD';
		const hasBody = !isHead && !bodilessStatuses.has(status);
		this.#isFramed = !hasBody || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
		// Undici closes the connection after a response to HEAD.
		this.#keepsConnection = headers.connection !== 'close' && !isHead;
		const fault = this.#findHeadFault(head);
		if (fault !== undefined) {
			this.abort(fault);
			return;
		}

		this.options.onMatchingHead?.(head);
		if (head.isNotExecuted) {
			this.progress = core.request.AttemptProgress.RefusedBeforeExecution;
			this.#responseFault = AttemptFault.Refused;
			this.options.connection.refusals.record(head.requestId);
			this.#startUnwantedTimer();
			return;
		}

		this.progress = core.request.AttemptProgress.ResponseStarted;

		// The type of undici's controller does not declare the raw headers.
		const {rawHeaders} = controller as unknown as {readonly rawHeaders: readonly Uint8Array[]};
		this.#wantsBody = this.options.sink.onHead(head, {headers: rawHeaders});
		if (!this.#wantsBody) {
			this.#responseFault = AttemptFault.ErrorResponse;
			this.#startUnwantedTimer();
		}
	}

	onResponseData(_controller: undici.Dispatcher.DispatchController, chunk: Uint8Array): void {
		this.#bodyBytes += chunk.length;
		if (!this.#isEnded) {
			this.#pacer.push(chunk);
		}
	}

	onResponseEnd(): void {
		this.#pacer.flush();
		if (!this.#isFramed && !this.options.connection.hasEndedCleanly) {
			this.#finish({
				progress: this.progress,
				fault: AttemptFault.ConnectionLost,
				head: this.#head,
				detail: 'connection was reset before the end of the response',
			});
			return;
		}

		if (this.progress === core.request.AttemptProgress.ResponseStarted) {
			this.progress = core.request.AttemptProgress.ResponseComplete;
		}

		this.#finish({progress: this.progress, fault: this.#responseFault, head: this.#head});
	}

	onResponseError(_controller: undici.Dispatcher.DispatchController | undefined, err: Error): void {
		if (this.#abortFault === undefined && !this.#isEnded) {
			this.#pacer.flush();
		}

		const connectFailed = this.progress === core.request.AttemptProgress.Connecting;
		const fault = this.#abortFault
			?? this.#responseFault
			?? (connectFailed ? classifyConnectError(err) : AttemptFault.ConnectionLost);
		this.#finish({
			progress: this.progress, fault, head: this.#head, detail: err.message,
		});
	}

	/** Passes on a part of the body. @returns Whether to continue reading. */
	#passOn(bytes: Uint8Array): boolean {
		if (this.#isEnded) {
			return true;
		}

		if (this.#wantsBody) {
			return this.options.sink.onData(bytes);
		}

		this.#unwantedBytes += bytes.length;
		if (this.#unwantedBytes > maxUnwantedBytes) {
			this.#abandonBody();
		} else if (this.#responseFault === AttemptFault.ErrorResponse) {
			this.options.sink.onDiscardedData(bytes);
		}

		return true;
	}

	#countInterimResponse(): void {
		this.#interimCount += 1;
		if (this.#interimCount > maxInterimResponses) {
			this.abort(AttemptFault.EndlessResponse);
		}
	}

	#startUnwantedTimer(): void {
		this.#unwantedTimer = setTimeout(() => {
			this.#abandonBody();
		}, maxUnwantedMs);
	}

	/** Closes the connection of a response whose body is not relayed; the result rests on its head. */
	#abandonBody(): void {
		this.#isBodyAbandoned = true;
		this.#controller?.abort(new AbortedError(this.#responseFault ?? AttemptFault.EndlessResponse));
	}

	#findHeadFault(head: ports.ResponseHead): AttemptFault | undefined {
		if (head.requestId !== undefined && head.requestId !== this.options.request.requestId) {
			return AttemptFault.WrongResponse;
		}

		if (head.isNotExecuted && this.options.connection.refusals.mayRepeat(head.requestId)) {
			return AttemptFault.WrongResponse;
		}

		return head.status < 300 && (!head.isSigned || head.requestId === undefined) ? AttemptFault.Unsigned : undefined;
	}

	#finish(result: AttemptResult): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		this.#pacer.end();
		clearTimeout(this.#unwantedTimer);
		const isReusable = !this.#isBodyAbandoned && !this.options.connection.refusals.isExhausted && (result.fault === undefined || result.fault === AttemptFault.Refused
			|| result.fault === AttemptFault.ErrorResponse);
		if (isReusable) {
			this.options.pool.release(this.options.connection, this.options.monotonicNow());
		} else {
			this.options.pool.discard(this.options.connection);
		}

		this.#resolve?.(result);
	}
}

function classifyConnectError(err: NodeJS.ErrnoException): AttemptFault {
	if (err instanceof connector.TunnelError) {
		return err.isEndpointFault ? AttemptFault.ConnectRefused : AttemptFault.TunnelFailed;
	}

	return err.code === 'ECONNREFUSED' ? AttemptFault.ConnectRefused : AttemptFault.ConnectFailed;
}
