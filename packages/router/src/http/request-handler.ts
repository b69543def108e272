import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import createDebug from 'debug';
import type * as filterChain from '../filters/filter-chain.js';
import * as parseCall from '../filters/parse-call.js';
import type * as requestContext from '../filters/request-context.js';
import type * as clock from '../util/clock.js';
import type * as recorder from '../util/recorder.js';
import * as callerAnswer from './caller-answer.js';
import * as readBody from './read-body.js';
import type * as requestTable from './request-table.js';

const debug = createDebug('bluebellmast:requests');
const retryAfterNotReadyMs = 1000;

/** What the handler of callers' requests works with. */
export type RequestHandlerOptions = {
	readonly chain: filterChain.FilterChain;
	readonly requests: requestTable.RequestTable;
	readonly clock: clock.Clock;
	readonly recorder: recorder.Recorder;
	/** Configuration in force; absent until the router has one. */
	readonly manifest: () => core.model.Manifest | undefined;
	readonly body: readBody.ReadBodyOptions;
};

const codeByBodyError: Readonly<Record<readBody.BodyError, core.model.ErrorCode>> = {
	[readBody.BodyError.TooLarge]: core.model.ErrorCode.BodyTooLarge,
	[readBody.BodyError.Timeout]: core.model.ErrorCode.RequestTimeout,
	[readBody.BodyError.CallerGone]: core.model.ErrorCode.CallerGone,
};

/** Reads callers' requests and passes them through the filter chain. */
export class RequestHandler {
	readonly #options: RequestHandlerOptions;

	constructor(options: RequestHandlerOptions) {
		this.#options = options;
	}

	/** Handles one request to its final answer. Never throws. */
	async handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const id = crypto.randomUUID();
		const answer = new callerAnswer.CallerAnswer(res, id);
		const done = this.#options.requests.begin(id);
		this.#options.recorder.record({type: core.timeline.TimelineEventType.RequestReceived, requestId: id});
		try {
			await this.#handle(req, answer, id);
		} catch (err) {
			this.#reportFault(err, answer, id);
		} finally {
			done();
		}
	}

	async #handle(
		req: http.IncomingMessage,
		answer: callerAnswer.CallerAnswer,
		id: core.model.RequestId,
	): Promise<void> {
		const arrivedAt = this.#options.clock.now();
		const manifest = this.#options.manifest();
		if (manifest === undefined) {
			this.#refuse(answer, core.model.ErrorCode.NotReady, 'this router has no manifest yet');
			return;
		}

		const body = await readBody.readBody(req, this.#options.body);
		if (body.isLeft()) {
			this.#refuseBody(req, answer, body.extract());
			return;
		}

		const parsed = parseCall.parseCall({
			method: req.method ?? 'GET',
			url: req.url ?? '/',
			contentType: req.headers['content-type'] ?? '',
			body: body.unsafeCoerce(),
		});
		if (parsed.isLeft()) {
			answer.sendRefusal(parsed.extract());
			return;
		}

		await this.#options.chain.run({
			id, arrivedAt, headers: readHeaders(req), call: parsed.unsafeCoerce(), response: answer, manifest,
		});
	}

	#refuseBody(req: http.IncomingMessage, answer: callerAnswer.CallerAnswer, reason: readBody.BodyError): void {
		if (reason === readBody.BodyError.CallerGone) {
			return;
		}

		// What the caller still sends is not read.
		answer.closeConnection();
		req.unpipe();
		this.#refuse(answer, codeByBodyError[reason], `the request body was not accepted: ${reason}`);
	}

	#refuse(answer: callerAnswer.CallerAnswer, code: core.model.ErrorCode, message: string): void {
		const retry = code === core.model.ErrorCode.NotReady ? {retryAfterMs: retryAfterNotReadyMs} : {};
		answer.sendRefusal(core.request.createRefusal(code, [], {message, ...retry}));
	}

	/** A fault of the router itself: the state of the request is not known for sure. */
	#reportFault(err: unknown, answer: callerAnswer.CallerAnswer, id: core.model.RequestId): void {
		debug('request %s met a fault of the router: %s', id, err instanceof Error ? err.stack : String(err));
		this.#options.recorder.record({
			type: core.timeline.TimelineEventType.InvariantBroken,
			requestId: id,
			detail: String(err),
		});
		if (!answer.finished && !answer.callerGone) {
			answer.sendRefusal(core.request.createRefusal(core.model.ErrorCode.Internal, [], {
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
