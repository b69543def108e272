import * as crypto from 'node:crypto';
import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as purify from 'purify-ts';
import type * as controller from '../controllers/controller.js';
import type * as call from '../filters/call.js';
import * as filterChain from '../filters/filter-chain.js';
import type * as filter from '../filters/filter.js';
import * as forwardedAccount from '../filters/forwarded-account-filter.js';
import type * as requestContext from '../filters/request-context.js';
import * as parseCall from '../filters/parse-call.js';
import type * as answer from '../http/answer.js';
import type * as requestTable from '../http/request-table.js';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as clock from '../util/clock.js';
import * as capturedAnswer from './captured-answer.js';

/** Milliseconds after the deadline in which the issuer's answer may still come. */
const answerGraceMs = 500;
const retryAfterUnreachableMs = 1000;

/** What forwarding works with. */
export type ForwardControllerOptions = {
	readonly incarnation: core.model.Incarnation;
	readonly peers: peerNetwork.PeerNetwork;
	readonly clock: clock.Clock;
	readonly requests: requestTable.RequestTable;
	readonly manifest: () => core.model.Manifest | undefined;
	/** Filters that a forwarded request passes after its account is known. */
	readonly filters: readonly filter.Filter[];
};

/** Who issued a key. */
export type Issuer = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
};

type Resolve = (result: purify.Either<core.model.Refusal, answer.WholeAnswer>) => void;

/** Hands requests with router-issued keys to the routers that issued them, and carries out those that come here. */
export class ForwardController implements controller.Controller {
	readonly #options: ForwardControllerOptions;
	readonly #waiting = new Map<string, Resolve>();

	constructor(options: ForwardControllerOptions) {
		this.#options = options;
	}

	async start(): Promise<void> {
		const {peers} = this.#options;
		peers.on(wire.peer.PeerMessageType.ForwardRequest, (from, message) => {
			void this.#carryOut(from, message as wire.peer.ForwardRequest);
		});
		peers.on(wire.peer.PeerMessageType.ForwardAnswer, (_, message) => {
			this.#receive(message as wire.peer.ForwardAnswer);
		});
	}

	async stop(): Promise<void> {
		// Requests under way end before controllers are stopped.
	}

	/** Hands a call to the router that issued its key, and waits for the whole answer. */
	async forward(
		ctx: requestContext.RequestContext,
		serviceCall: call.ServiceCall,
		issuer: Issuer,
	): Promise<purify.Either<core.model.Refusal, answer.WholeAnswer>> {
		const forwardId = crypto.randomUUID();
		const deadlineMs = Math.max(0, ctx.deadlineAt! - this.#options.clock.now());
		const message: wire.peer.ForwardRequest = {
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
			deadlineMs,
		};
		return new Promise(resolve => {
			this.#wait(forwardId, deadlineMs + answerGraceMs, resolve);
			if (!this.#options.peers.send(issuer.vm, message)) {
				this.#settle(forwardId, purify.Left(createUnreachableRefusal()));
			}
		});
	}

	#wait(forwardId: string, limitMs: number, resolve: Resolve): void {
		const timer = setTimeout(() => {
			this.#settle(forwardId, purify.Left(createLostRefusal()));
		}, limitMs);
		this.#waiting.set(forwardId, result => {
			clearTimeout(timer);
			resolve(result);
		});
	}

	#settle(forwardId: string, result: purify.Either<core.model.Refusal, answer.WholeAnswer>): void {
		const resolve = this.#waiting.get(forwardId);
		this.#waiting.delete(forwardId);
		resolve?.(result);
	}

	#receive(message: wire.peer.ForwardAnswer): void {
		const {forwardId, status, headers, body} = message;
		this.#settle(forwardId, readAnswer(status, headers, body));
	}

	async #carryOut(from: core.model.VmId, message: wire.peer.ForwardRequest): Promise<void> {
		const captured = new capturedAnswer.CapturedAnswer(result => {
			this.#options.peers.send(from, {
				type: wire.peer.PeerMessageType.ForwardAnswer, forwardId: message.forwardId, ...result,
			} as wire.peer.ForwardAnswer);
		});
		const id = crypto.randomUUID();
		const done = this.#options.requests.begin(id);
		try {
			await this.#run(message, captured, id);
		} catch {
			if (!captured.finished) {
				captured.sendRefusal(createLostRefusal());
			}
		} finally {
			done();
		}
	}

	async #run(
		message: wire.peer.ForwardRequest,
		captured: capturedAnswer.CapturedAnswer,
		id: core.model.RequestId,
	): Promise<void> {
		const manifest = this.#options.manifest();
		if (message.incarnation !== this.#options.incarnation || manifest === undefined) {
			captured.sendRefusal(createLostRefusal());
			return;
		}

		const contentType = message.headers['content-type'] ?? '';
		const parsed = parseCall.parseCall({
			method: message.method, url: message.path, contentType, body: message.body,
		});
		if (parsed.isLeft()) {
			captured.sendRefusal(parsed.extract());
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
			response: captured,
			manifest,
		});
	}
}

function readAnswer(
	status: number,
	headers: Readonly<Record<string, string>>,
	body: Uint8Array,
): purify.Either<core.model.Refusal, answer.WholeAnswer> {
	if (headers[wire.http.HeaderName.Execution] === undefined) {
		return purify.Right({status, contentType: headers['content-type'] ?? '', body});
	}

	const {error} = JSON.parse(new TextDecoder().decode(body)) as {error: core.model.Refusal};
	return purify.Left(error);
}

/** Nothing was sent to the issuer, and nothing will be. */
function createUnreachableRefusal(): core.model.Refusal {
	return core.request.createRefusal(core.model.ErrorCode.NoEndpoint, [], {
		message: 'the router that issued the idempotency key cannot be reached at present',
		retryAfterMs: retryAfterUnreachableMs,
	});
}

/** The issuer may have carried the request out. */
function createLostRefusal(): core.model.Refusal {
	return core.request.createRefusal(core.model.ErrorCode.OutcomeUnknown, [], {
		message: 'the router that issued the idempotency key gave no answer',
		priorExecution: core.request.PriorExecution.Possible,
		retryAfterMs: retryAfterUnreachableMs,
	});
}
