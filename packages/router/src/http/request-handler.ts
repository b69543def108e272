import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import createDebug from 'debug';
import type * as filterChain from '../filters/filter-chain.js';
import * as parseCall from '../filters/parse-call.js';
import type * as requestContext from '../filters/request-context.js';
import type * as clock from '../util/clock.js';
import type * as timelineRecorder from '../util/timeline-recorder.js';
import * as httpResponseWriter from './http-response-writer.js';
import * as readBody from './read-body.js';
import type * as activeRequests from './active-requests.js';

const debug = createDebug('bluebellmast:requests');
const retryAfterNotReadyMs = 1000;

/** Options and dependencies of `RequestHandler`. */
export type RequestHandlerOptions = {
	readonly chain: filterChain.FilterChain;
	readonly requests: activeRequests.ActiveRequests;
	readonly clock: clock.Clock;
	readonly recorder: timelineRecorder.TimelineRecorder;
	/** Returns the active manifest; `undefined` until the router has one. */
	readonly manifest: () => core.model.Manifest | undefined;
	readonly body: readBody.ReadBodyOptions;
};

const codeByBodyError: Readonly<Record<readBody.BodyError, core.model.ErrorCode>> = {
	[readBody.BodyError.TooLarge]: core.model.ErrorCode.BodyTooLarge,
	[readBody.BodyError.Timeout]: core.model.ErrorCode.RequestTimeout,
	[readBody.BodyError.CallerDisconnected]: core.model.ErrorCode.CallerDisconnected,
};

/** Reads callers' requests and runs the filter chain on them. */
export class RequestHandler {
	readonly #options: RequestHandlerOptions;

	constructor(options: RequestHandlerOptions) {
		this.#options = options;
	}

	/** Handles one request until its final response or until the caller disconnects. Never throws. */
	async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const id = crypto.randomUUID();
		const response = new httpResponseWriter.HttpResponseWriter(res, id);
		const removeRequest = this.#options.requests.add(id);
		this.#options.recorder.record({type: core.timeline.TimelineEventType.RequestReceived, requestId: id});
		try {
			await this.#handle(req, response, id);
		} catch (err) {
			this.#handleInternalError(err, response, id);
		} finally {
			removeRequest();
		}
	}

	async #handle(
		req: http.IncomingMessage,
		response: httpResponseWriter.HttpResponseWriter,
		id: core.model.RequestId,
	): Promise<void> {
		const arrivedAt = this.#options.clock.now();
		const manifest = this.#options.manifest();
		if (manifest === undefined) {
			this.#refuse(response, core.model.ErrorCode.NotReady, 'this router has no manifest yet');
			return;
		}

		const body = await readBody.readBody(req, this.#options.body);
		if (body.isLeft()) {
			this.#refuseBody(req, response, body.extract());
			return;
		}

		const parsed = parseCall.parseCall({
			method: req.method ?? 'GET',
			url: req.url ?? '/',
			contentType: req.headers['content-type'] ?? '',
			body: body.unsafeCoerce(),
		});
		if (parsed.isLeft()) {
			response.sendRefusal(parsed.extract());
			return;
		}

		await this.#options.chain.run({
			id, arrivedAt, headers: readHeaders(req), call: parsed.unsafeCoerce(), response, manifest,
		});
	}

	#refuseBody(req: http.IncomingMessage, response: httpResponseWriter.HttpResponseWriter, reason: readBody.BodyError): void {
		if (reason === readBody.BodyError.CallerDisconnected) {
			return;
		}

		// The rest of the body is not read, so the connection cannot be used for another request.
		response.closeConnection();
		req.unpipe();
		this.#refuse(response, codeByBodyError[reason], `the request body was not accepted: ${reason}`);
	}

	#refuse(response: httpResponseWriter.HttpResponseWriter, code: core.model.ErrorCode, message: string): void {
		const retry = code === core.model.ErrorCode.NotReady ? {retryAfterMs: retryAfterNotReadyMs} : {};
		response.sendRefusal(core.request.createRefusal(code, [], {message, ...retry}));
	}

	/** Reports an unexpected error in the router; whether the request was executed is then unknown. */
	#handleInternalError(err: unknown, response: httpResponseWriter.HttpResponseWriter, id: core.model.RequestId): void {
		debug('request %s failed with an internal error: %s', id, err instanceof Error ? err.stack : String(err));
		this.#options.recorder.record({...core.timeline.createErrorEvent(err), requestId: id});
		if (!response.isFinished && !response.isCallerDisconnected) {
			response.sendRefusal(core.request.createRefusal(core.model.ErrorCode.Internal, [], {
				message: 'the router met a fault of its own',
				priorExecution: core.request.PriorExecution.Possible,
			}));
		}
	}
}

function readHeaders(req: http.IncomingMessage): requestContext.RequestHeaders {
	const read = (name: wire.http.HeaderName) => {
		const value = req.headers[name];
		return typeof value === 'string' ? value : undefined;
	};

	const entries = {
		authorization: req.headers.authorization,
		idempotencyKey: read(wire.http.HeaderName.IdempotencyKey),
		deadlineMs: read(wire.http.HeaderName.DeadlineMs),
		requestKind: read(wire.http.HeaderName.RequestKind),
	};
	return Object.fromEntries(Object.entries(entries).filter(([, value]) => value !== undefined));
}
