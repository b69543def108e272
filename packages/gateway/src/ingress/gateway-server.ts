import * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as core from '@bluebellmast/core';
import * as call from '../call/index.js';
import type * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as listen from '../util/listen.js';

/** What the server works with. */
export type GatewayServerParts = {
	readonly protocol: ports.CallerProtocol;
	/** Steps that each request passes before it is dispatched. */
	readonly filters: readonly call.CallFilter[];
	readonly dispatcher: call.CallDispatcher;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/** Bytes of a request head that are accepted; the platform's callers stay within half of it. */
const maxHeadBytes = 32_768;
/** Time that idle connections are kept beyond what callers are told, so that a reused one is still open. */
const keepAliveExtraMs = 2000;
/** Interval at which a stopping server looks for idle connections, in milliseconds. */
const drainCheckMs = 100;

/** Accepts callers' requests and answers them. */
export class GatewayServer {
	readonly #server: http.Server;
	#isStopping = false;
	/** Answers that have not ended. */
	readonly #open = new Set<http.ServerResponse>();

	constructor(private readonly parts: GatewayServerParts) {
		this.#server = http.createServer({maxHeaderSize: maxHeadBytes, keepAlive: true, noDelay: true}, (req, res) => {
			void this.#handle(req, res);
		});
		this.#server.on('clientError', (err: NodeJS.ErrnoException, socket: net.Socket) => {
			this.#refuseConnection(err, socket);
		});
		// The limits of the configuration replace these; whole requests are bounded by their routes.
		this.#server.requestTimeout = 0;
	}

	/** Applies the configured bounds on callers. */
	applyLimits(limits: {readonly headerTimeoutMs: number; readonly idleTimeoutMs: number}): void {
		this.#server.headersTimeout = limits.headerTimeoutMs;
		this.#server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveExtraMs;
	}

	/** Starts to listen. */
	async listen(address: listen.ListenAddress): Promise<void> {
		return listen.listenOn(this.#server, address);
	}

	/** Port on which the server listens. */
	get port(): number {
		return listen.portOf(this.#server);
	}

	/** Requests that have not ended. */
	get openRequests(): number {
		return this.#open.size;
	}

	/** From now on each answer closes its connection, so that callers go to other VMs. */
	beginStop(): void {
		this.#isStopping = true;
		for (const res of this.#open) {
			closeAfter(res);
		}
	}

	/** Stops to accept connections and waits until all requests have ended, `maxMs` milliseconds at most. */
	async finishStop(maxMs: number): Promise<void> {
		this.#server.close();
		const endsAt = this.parts.clock.steadyNow() + maxMs;
		while (this.parts.clock.steadyNow() < endsAt) {
			if (this.#open.size === 0) {
				this.#server.closeIdleConnections();
				break;
			}

			await timers.setTimeout(drainCheckMs); // eslint-disable-line no-await-in-loop -- Waits between checks.
		}
	}

	/** Closes everything at once. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		this.#open.add(res);
		res.on('error', () => {
			// A broken connection shows as its close, which ends the request.
		});
		if (this.#isStopping) {
			closeAfter(res);
		}

		try {
			await this.#answer(req, res);
		} catch (err) {
			this.#noteFault(err);
			res.destroy();
		} finally {
			this.#open.delete(res);
		}
	}

	async #answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		const raw: ports.RawRequestHead = {method: req.method ?? '', target: req.url ?? '', rawHeaders: req.rawHeaders};
		const decoded = this.parts.protocol.decodeRequestHead(raw);
		if (decoded.isLeft()) {
			const findings = (decoded.extract()).map(item => `${item.place}: ${item.problem}`);
			this.parts.log.write(eventLog.LogEvent.RequestRejected, {code: call.RefusalCode.MalformedRequest, findings: findings.join('; ')});
			res.setHeader('Connection', 'close');
			call.answerRefusal(res, {code: call.RefusalCode.MalformedRequest, findings});
			return;
		}

		const head = decoded.extract() as ports.RequestHead;
		const ctx: call.CallContext = {
			req, res, head, arrivedAt: this.parts.clock.steadyNow(),
		};
		let refusal: call.Refusal | undefined = {code: call.RefusalCode.InternalFault};
		try {
			refusal = await this.#run(ctx);
		} catch (err) {
			this.#noteFault(err);
		}

		if (refusal !== undefined) {
			this.#refuse(ctx, refusal);
		}

		this.#noteEnd(ctx, refusal);
	}

	#noteFault(err: unknown): void {
		this.parts.log.write(eventLog.LogEvent.InternalError, {task: 'request', problem: String(err)});
	}

	#noteEnd(ctx: call.CallContext, refusal: call.Refusal | undefined): void {
		const {head, res, route} = ctx;
		this.parts.log.write(eventLog.LogEvent.RequestEnded, {
			request: head.requestId,
			outcome: outcomeOf(ctx, refusal),
			route: route?.name,
			kind: route?.kind,
			status: res.headersSent ? res.statusCode : 0,
			code: refusal?.code,
			retryAfterMs: refusal?.retryAfterMs === undefined ? undefined : Math.round(refusal.retryAfterMs),
			...refusal?.inputs,
			...ctx.timing,
			tookMs: Math.round(this.parts.clock.steadyNow() - ctx.arrivedAt),
		});
	}

	async #run(ctx: call.CallContext): Promise<call.Refusal | undefined> {
		for (const filter of this.parts.filters) {
			const refusal = await filter.check(ctx); // eslint-disable-line no-await-in-loop -- Filters follow one another.
			if (refusal !== undefined) {
				return refusal;
			}
		}

		return ctx.res.destroyed ? undefined : this.parts.dispatcher.dispatch(ctx as call.RoutedCall);
	}

	#refuse(ctx: call.CallContext, refusal: call.Refusal): void {
		if (refusal.code === call.RefusalCode.BodyTooLarge || !ctx.req.complete) {
			ctx.res.setHeader('Connection', 'close');
		}

		call.answerRefusal(ctx.res, refusal);
		if (!ctx.res.writableEnded) {
			// An answer has begun that nobody will complete.
			ctx.res.destroy();
		}
	}

	#refuseConnection(err: NodeJS.ErrnoException, socket: net.Socket): void {
		if (!socket.writable || err.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		const isTooLarge = err.code === 'HPE_HEADER_OVERFLOW';
		const status = isTooLarge ? '431 Request Header Fields Too Large' : '400 Bad Request';
		const code = isTooLarge ? call.RefusalCode.HeadTooLarge : call.RefusalCode.MalformedRequest;
		this.parts.log.write(eventLog.LogEvent.RequestRejected, {code, findings: `connection: ${err.message}`});
		socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
	}
}

function outcomeOf({res, isCut}: call.CallContext, refusal: call.Refusal | undefined): core.log.RequestOutcome {
	if (refusal !== undefined && refusal.code !== call.RefusalCode.CallerGone) {
		return core.log.RequestOutcome.Refused;
	}

	if (isCut) {
		return core.log.RequestOutcome.Truncated;
	}

	return res.writableEnded ? core.log.RequestOutcome.Answered : core.log.RequestOutcome.CallerDisconnected;
}

/** Closes the connection of an answer once it has ended; says so in its head unless that has gone. */
function closeAfter(res: http.ServerResponse): void {
	if (!res.headersSent) {
		res.setHeader('Connection', 'close');
	}

	res.once('finish', () => {
		res.req.socket.end();
	});
}
