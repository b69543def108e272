import * as crypto from 'node:crypto';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as wire from '@bluebellmast/wire';
import createDebug from 'debug';
import * as purify from 'purify-ts';
import type * as controller from '../controllers/controller.js';
import type * as call from '../filters/call.js';
import * as filterChain from '../filters/filter-chain.js';
import type * as filter from '../filters/filter.js';
import * as forwardedAccount from '../filters/forwarded-account-filter.js';
import type * as requestContext from '../filters/request-context.js';
import * as parseCall from '../filters/parse-call.js';
import type * as responseWriter from '../http/response-writer.js';
import type * as activeRequests from '../http/active-requests.js';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as clock from '../util/clock.js';
import * as capturingResponseWriter from './capturing-response-writer.js';
import * as sendWithRetries from './send-with-retries.js';

const debug = createDebug('bluebellmast:forward');

/** Time after the deadline for which the issuer's response is still awaited. */
const responseGraceMs = 500;
const retryAfterUnreachableMs = 1000;
/** Longest time for which a request waits for a link to the issuer, in milliseconds. */
const maxLinkWaitMs = 2000;
/** Longest time for which a request waits for a link to the issuer, as a share of the time until its deadline. */
const maxLinkWaitShare = 0.3;

/** Options and dependencies of `ForwardController`. */
export type ForwardControllerOptions = {
	readonly incarnation: core.model.Incarnation;
	readonly peers: peerNetwork.PeerNetwork;
	readonly clock: clock.Clock;
	readonly requests: activeRequests.ActiveRequests;
	readonly manifest: () => core.model.Manifest | undefined;
	/** Filters for forwarded requests; they run after the filter that sets the account. */
	readonly filters: readonly filter.Filter[];
};

/** Router that issued an idempotency key. */
export type Issuer = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
};

type Resolve = (result: purify.Either<core.model.Refusal, responseWriter.BufferedResponse>) => void;

/**
 * Forwards requests with router-issued idempotency keys to the routers that issued the keys, and executes the requests that
 * other routers forward to this one.
 */
export class ForwardController implements controller.Controller {
	readonly #options: ForwardControllerOptions;
	readonly #pending = new Map<string, Resolve>();

	constructor(options: ForwardControllerOptions) {
		this.#options = options;
	}

	async start(): Promise<void> {
		const {peers} = this.#options;
		peers.on(wire.peer.PeerMessageType.ForwardRequest, (from, message) => {
			void this.#handleRequest(from, message as wire.peer.ForwardRequest);
		});
		peers.on(wire.peer.PeerMessageType.ForwardAnswer, (_, message) => {
			this.#handleResponse(message as wire.peer.ForwardAnswer);
		});
	}

	async stop(): Promise<void> {
		// There is nothing to stop: all requests have ended before controllers are stopped.
	}

	/**
	 * Forwards a call to the router that issued its key and waits for the complete response. Returns a refusal if the issuer
	 * refuses the call, cannot be reached or does not respond in time.
	 */
	async forward(
		ctx: requestContext.RequestContext,
		serviceCall: call.ServiceCall,
		issuer: Issuer,
	): Promise<purify.Either<core.model.Refusal, responseWriter.BufferedResponse>> {
		const forwardId = crypto.randomUUID();
		const deadlineMs = this.#remainingMs(ctx);
		return new Promise(resolve => {
			this.#addPending(forwardId, deadlineMs + responseGraceMs, resolve);
			void this.#sendRequest(issuer, () => this.#createRequest(forwardId, ctx, serviceCall, issuer));
		});
	}

	/** Sends a request, or refuses it if no link to the issuer accepts it in time; a refused one is never sent. */
	async #sendRequest(issuer: Issuer, createRequest: () => wire.peer.ForwardRequest): Promise<void> {
		const {forwardId, deadlineMs} = createRequest();
		const maxWaitMs = Math.min(maxLinkWaitMs, deadlineMs * maxLinkWaitShare);
		const isSent = await sendWithRetries.sendWithRetries(() => this.#options.peers.send(issuer.vm, createRequest()), maxWaitMs);
		if (!isSent) {
			this.#resolvePending(forwardId, purify.Left(createUnreachableRefusal()));
		}
	}

	#createRequest(
		forwardId: string,
		ctx: requestContext.RequestContext,
		serviceCall: call.ServiceCall,
		issuer: Issuer,
	): wire.peer.ForwardRequest {
		return {
			type: wire.peer.PeerMessageType.ForwardRequest,
			forwardId,
			incarnation: issuer.incarnation,
			account: ctx.account!.id,
			method: serviceCall.method,
			path: `/v1/services/${serviceCall.service}${serviceCall.path}`,
			headers: {
				'content-type': serviceCall.contentType,
				[wire.http.HeaderName.IdempotencyKey]: ctx.headers.idempotencyKey!,
			},
			body: serviceCall.body,
			deadlineMs: this.#remainingMs(ctx),
		};
	}

	#remainingMs(ctx: requestContext.RequestContext): number {
		return Math.max(0, ctx.deadlineAt! - this.#options.clock.now());
	}

	#addPending(forwardId: string, timeoutMs: number, resolve: Resolve): void {
		const timer = new clients.timeouts.InputTimer(timeoutMs, () => {
			this.#resolvePending(forwardId, purify.Left(createUnknownOutcomeRefusal()));
		});
		this.#pending.set(forwardId, result => {
			timer.clear();
			resolve(result);
		});
	}

	#resolvePending(forwardId: string, result: purify.Either<core.model.Refusal, responseWriter.BufferedResponse>): void {
		const resolve = this.#pending.get(forwardId);
		this.#pending.delete(forwardId);
		resolve?.(result);
	}

	#handleResponse(message: wire.peer.ForwardAnswer): void {
		const {forwardId, status, headers, body} = message;
		this.#resolvePending(forwardId, readResponse(status, headers, body));
	}

	async #handleRequest(from: core.model.VmId, message: wire.peer.ForwardRequest): Promise<void> {
		let delivery: Promise<void> | undefined;
		const writer = new capturingResponseWriter.CapturingResponseWriter(response => {
			delivery = this.#sendResponse(from, message, response);
		});
		const id = crypto.randomUUID();
		const removeRequest = this.#options.requests.add(id);
		try {
			await this.#runFilters(message, writer, id);
		} catch {
			if (!writer.isFinished) {
				writer.sendRefusal(createUnknownOutcomeRefusal());
			}
		} finally {
			await delivery;
			removeRequest();
		}
	}

	/** Sends a response for as long as the router that forwarded the request awaits it. */
	async #sendResponse(
		to: core.model.VmId,
		request: wire.peer.ForwardRequest,
		response: capturingResponseWriter.CapturedResponse,
	): Promise<void> {
		const {forwardId, deadlineMs} = request;
		const message: wire.peer.ForwardAnswer = {type: wire.peer.PeerMessageType.ForwardAnswer, forwardId, ...response};
		const isSent = await sendWithRetries.sendWithRetries(() => this.#options.peers.send(to, message), deadlineMs + responseGraceMs);
		if (!isSent) {
			debug('no link to %s accepted the response to the forwarded request %s', to, forwardId);
		}
	}

	async #runFilters(
		message: wire.peer.ForwardRequest,
		writer: capturingResponseWriter.CapturingResponseWriter,
		id: core.model.RequestId,
	): Promise<void> {
		const manifest = this.#options.manifest();
		if (message.incarnation !== this.#options.incarnation || manifest === undefined) {
			writer.sendRefusal(createUnknownOutcomeRefusal());
			return;
		}

		const contentType = message.headers['content-type'] ?? '';
		const parsed = parseCall.parseCall({
			method: message.method, url: message.path, contentType, body: message.body,
		});
		if (parsed.isLeft()) {
			writer.sendRefusal(parsed.extract());
			return;
		}

		const account = new forwardedAccount.ForwardedAccountFilter(message.account);
		const chain = new filterChain.FilterChain([account, ...this.#options.filters]);
		await chain.run({
			id,
			arrivedAt: this.#options.clock.now(),
			headers: {
				idempotencyKey: message.headers[wire.http.HeaderName.IdempotencyKey]!,
				deadlineMs: String(Math.max(1, Math.round(message.deadlineMs))),
			},
			call: parsed.unsafeCoerce(),
			response: writer,
			manifest,
		});
	}
}

function readResponse(
	status: number,
	headers: Readonly<Record<string, string>>,
	body: Uint8Array,
): purify.Either<core.model.Refusal, responseWriter.BufferedResponse> {
	if (headers[wire.http.HeaderName.Execution] === undefined) {
		return purify.Right({status, contentType: headers['content-type'] ?? '', body});
	}

	const {error} = JSON.parse(new TextDecoder().decode(body)) as {error: core.model.Refusal};
	return purify.Left(error);
}

/** Refusal of a request that was not sent to the issuer, so it was not executed. */
function createUnreachableRefusal(): core.model.Refusal {
	return core.request.createRefusal(core.model.ErrorCode.NoEndpoint, [], {
		message: 'the router that issued the idempotency key cannot be reached at present',
		retryAfterMs: retryAfterUnreachableMs,
	});
}

/** Refusal of a request that the issuer may have executed. */
function createUnknownOutcomeRefusal(): core.model.Refusal {
	return core.request.createRefusal(core.model.ErrorCode.OutcomeUnknown, [], {
		message: 'the router that issued the idempotency key gave no answer',
		priorExecution: core.request.PriorExecution.Possible,
		retryAfterMs: retryAfterUnreachableMs,
	});
}
