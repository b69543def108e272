import type * as http from 'node:http';
import type * as net from 'node:net';
import * as timers from 'node:timers/promises';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as call from '../call/index.js';
import type * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as listen from '../util/listen.js';
import * as stepScheduler from '../util/step-scheduler.js';
import * as callerConnections from './caller-connections.js';
import * as connectionInputs from './connection-inputs.js';
import * as connectionRejecter from './connection-rejecter.js';
import * as connectionRejection from './connection-rejection.js';
import * as endImmediately from './end-immediately.js';
import * as headerTimeout from './header-timeout.js';
import * as idleConnections from './idle-connections.js';
import * as refusalSender from './refusal-sender.js';
import * as requestLog from './request-log.js';
import * as responseOrder from './response-order.js';

/** Dependencies of {@link GatewayServer}. */
export type GatewayServerDependencies = {
	readonly protocol: ports.CallerProtocol;
	/** Checks that are applied in order to each request before it is dispatched. */
	readonly filters: readonly call.RequestFilter[];
	readonly dispatcher: call.RequestDispatcher;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
	/** Connections of callers, with their number at most; not bounded by default. */
	readonly connections?: callerConnections.CallerConnections;
	/** Runs the parsing of bodies that cost much; one of its own by default. */
	readonly scheduler?: stepScheduler.StepScheduler;
	/** Bytes that may wait for the parsing of such bodies, over all connections; not bounded by default. */
	readonly maxHeldInputBytes?: number;
	/** Interval between checks for heads that take too long, in milliseconds; 30 seconds by default. */
	readonly headCheckIntervalMs?: number;
};

/** Default of {@link GatewayServerDependencies.headCheckIntervalMs}. */
const defaultHeadCheckIntervalMs = 30_000;

/** Maximum size of a request head in bytes; heads of the platform's callers are at most half as large. */
const maxHeadBytes = 32_768;
/** Interval between checks of the memory of incomplete heads, in milliseconds. */
const headMemoryCheckIntervalMs = 50;
/** Requests of one connection that may wait for the responses of earlier ones; callers of the platform send one at a time. */
const maxPipelinedRequests = 64;
/** The same of all connections. */
const maxAllPipelinedRequests = 1024;
/** Time that connections stay open beyond the configured idle timeout, in milliseconds, so that reuse just before it succeeds. */
const keepAliveMarginMs = 2000;
/** Interval at which a server that shuts down checks for open requests, in milliseconds. */
const drainCheckIntervalMs = 100;
/** Time for which a server that shuts down keeps connections on which no whole request has arrived, in milliseconds. */
const partialRequestGraceMs = 1000;

/** HTTP server that receives the callers' requests. */
export class GatewayServer {
	readonly #server: clients.connections.CallerHttpServer;
	#isShuttingDown = false;
	/** Responses that have not been handled, or not been passed on to the connection as a whole. */
	readonly #openResponses = new Set<http.ServerResponse>();
	/** Number of requests whose handling has not ended. */
	#handledCount = 0;
	/** Requests whose head was decoded, by response. */
	readonly #contexts = new WeakMap<http.ServerResponse, call.RequestContext>();
	readonly #headerTimeout = new headerTimeout.HeaderTimeout(timeoutMs => {
		this.#server.headersTimeout = timeoutMs;
	});

	readonly #idle = new idleConnections.IdleConnections();
	readonly #order = new responseOrder.ResponseOrder();
	/** Responses after which the connection is closed, since invalid bytes followed their request. */
	readonly #closing = new WeakSet<http.ServerResponse>();

	#headCheck: NodeJS.Timeout | undefined;
	readonly #connections: callerConnections.CallerConnections;
	readonly #inputs: connectionInputs.ConnectionInputs;
	readonly #refusals: refusalSender.RefusalSender;
	readonly #rejecter: connectionRejecter.ConnectionRejecter;
	readonly #log: requestLog.RequestLog;

	constructor(private readonly dependencies: GatewayServerDependencies) {
		this.#log = new requestLog.RequestLog(dependencies.log);
		this.#connections = dependencies.connections ?? new callerConnections.CallerConnections();
		const now = (): number => dependencies.clock.monotonicNow();
		this.#inputs = new connectionInputs.ConnectionInputs({
			now,
			scheduler: dependencies.scheduler ?? new stepScheduler.StepScheduler(now),
			maxHeldBytes: dependencies.maxHeldInputBytes ?? Infinity,
			onEvicted: ({remoteAddress}) => {
				this.#logTurnedAway(core.log.TurnAwayReason.InputMemory, remoteAddress);
			},
		});
		this.#refusals = new refusalSender.RefusalSender(dependencies.clock, this.#inputs);
		this.#rejecter = new connectionRejecter.ConnectionRejecter({
			log: dependencies.log,
			order: this.#order,
			inputs: this.#inputs,
			isHandled: res => this.#openResponses.has(res),
			closeAfter: res => {
				this.#closeAfterInvalidBytes(res);
			},
		});
		this.#server = new clients.connections.CallerHttpServer(
			{
				maxHeaderSize: maxHeadBytes,
				keepAlive: true,
				noDelay: true,
				connectionsCheckingInterval: dependencies.headCheckIntervalMs ?? defaultHeadCheckIntervalMs,
			},
			(req, res) => {
				void this.#handle(req, res);
			},
			() => [...this.#openResponses].some(res => res.writableEnded && !res.writableFinished),
		);
		this.#server.on('clientError', (err: NodeJS.ErrnoException, socket: net.Socket) => {
			if (connectionRejection.isHeadTimeout(err)) {
				void this.#rejecter.rejectSlowHead(err, socket);
			} else {
				this.#rejecter.rejectConnection(err, socket);
			}
		});
		this.#server.on('connection', (socket: net.Socket) => {
			this.#inputs.onConnection(socket);
			if (!this.#connections.add(socket, now())) {
				this.#rejecter.rejectForRoom(socket);
			}
		});
		this.#server.on('connect', (req: http.IncomingMessage, socket: net.Socket) => {
			this.#inputs.onDetached(socket);
			// Node's HTTP server no longer handles the errors of this connection.
			socket.on('error', () => {
				socket.destroy();
			});
			this.#rejecter.rejectConnection(new Error(`method ${req.method}`), socket);
		});
		this.#server.on('timeout', (socket: net.Socket) => {
			this.#closeIdle(socket);
		});
		// Whole requests are bounded by the timeouts of their routes; `applyLimits` sets the other timeouts.
		this.#server.requestTimeout = 0;
	}

	/** Applies the configured timeouts of callers' connections. */
	applyLimits(limits: {readonly headerTimeoutMs: number; readonly idleTimeoutMs: number}): void {
		this.#headerTimeout.set(limits.headerTimeoutMs);
		this.#server.keepAliveTimeout = limits.idleTimeoutMs + keepAliveMarginMs;
	}

	/** Starts listening. */
	async listen(address: listen.ListenAddress): Promise<void> {
		this.#headCheck = setInterval(() => {
			this.#closeSlowHeads();
		}, headMemoryCheckIntervalMs);
		this.#headCheck.unref();
		return listen.listenOn(this.#server, address);
	}

	/** Port on which the server listens. */
	get port(): number {
		return listen.getPort(this.#server);
	}

	/** Bytes that wait for the parsing of bodies that cost much. */
	get heldInputBytes(): number {
		return this.#inputs.heldBytes;
	}

	/** Number of requests that have not ended. */
	get openRequests(): number {
		return this.#openResponses.size;
	}

	/** Closes the connection after each response from now on, so that callers connect to other VMs. */
	beginShutdown(): void {
		this.#isShuttingDown = true;
		for (const res of this.#openResponses) {
			this.#closeConnectionAfter(res);
		}
	}

	/**
	 * Stops accepting connections and waits until all requests have ended, for at most `maxMs` milliseconds. Requests that are being
	 * read when the last response ends are waited for as well.
	 */
	async finishShutdown(maxMs: number): Promise<void> {
		const now = (): number => this.dependencies.clock.monotonicNow();
		const endsAt = now() + maxMs;
		await this.#server.acceptWaiting(() => now() < endsAt);
		this.#server.close();
		let lastResponseAt = now();
		while (now() < endsAt) {
			if (this.#openResponses.size > 0) {
				lastResponseAt = now();
			} else if (now() - lastResponseAt >= partialRequestGraceMs || !(await this.#hasBusyConnections())) { // eslint-disable-line no-await-in-loop -- Checks follow one another.
				break;
			}

			await timers.setTimeout(drainCheckIntervalMs); // eslint-disable-line no-await-in-loop -- Waits between checks.
			await clients.timeouts.waitForInput(); // eslint-disable-line no-await-in-loop -- Waits between checks.
		}
	}

	/** Closes the server and all connections immediately; requests whose response has not started are refused. */
	close(): void {
		this.#headerTimeout.close();
		clearInterval(this.#headCheck);
		this.#server.close();
		for (const res of this.#openResponses) {
			const ctx = this.#contexts.get(res);
			if (ctx !== undefined) {
				ctx.isProcessEnding = true;
			}

			endImmediately.endImmediately(res, ctx?.isSent === true);
		}

		this.#server.closeAllConnections();
	}

	/** Waits after {@link GatewayServer.close} until the ends of all requests are logged, for at most `maxMs` milliseconds. */
	async awaitLoggedEnds(maxMs: number): Promise<void> {
		const now = (): number => this.dependencies.clock.monotonicNow();
		const endsAt = now() + maxMs;
		while (this.#handledCount > 0 && now() < endsAt) {
			await clients.timeouts.waitForTurn(); // eslint-disable-line no-await-in-loop -- Turns follow one another.
		}
	}

	/** Closes the idle connections. @returns Whether connections remain, on which a request is being read or a response is being sent. */
	async #hasBusyConnections(): Promise<boolean> {
		this.#server.closeIdleConnections();
		return new Promise(resolve => {
			this.#server.getConnections((err, count) => {
				resolve(err === null && count > 0);
			});
		});
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (req.socket.destroyed) {
			return;
		}

		if (this.#order.countWaiting(req.socket) >= maxPipelinedRequests || this.#order.waitingCount >= maxAllPipelinedRequests) {
			this.#logTurnedAway(core.log.TurnAwayReason.PipelinedRequests, req.socket.remoteAddress);
			req.socket.destroy();
			return;
		}

		const arrivedAt = this.dependencies.clock.monotonicNow();
		this.#connections.onRequest(res);
		const earlyBody = this.#inputs.onRequest(res, this.#order.countWaiting(req.socket));
		// Node announces the timeout that applies when a request arrives.
		const keepAliveMs = this.#server.keepAliveTimeout;
		if (!req.socket.writableEnded) {
			await this.#order.add(res);
		}

		if (req.socket.destroyed) {
			return;
		}

		if (req.socket.writableEnded) {
			// The request has crossed the close of its connection; its caller can repeat it, since it is not executed.
			this.#logDropped(req);
			earlyBody?.take();
			req.resume();
			return;
		}

		this.#openResponses.add(res);
		this.#handledCount += 1;
		res.on('error', () => {
			// A broken connection also emits `close`, which ends the request.
		});
		if (this.#isShuttingDown) {
			this.#closeConnectionAfter(res);
		}

		try {
			await this.#handleRequest({
				req, res, arrivedAt, earlyBody,
			});
		} catch (err) {
			this.#log.writeError(err);
			await this.#refusals.send({
				req, res, arrivedAt, earlyBody,
			}, {code: call.RefusalCode.InternalError});
		} finally {
			this.#handledCount -= 1;
			this.#forgetWhenClosed(res, keepAliveMs);
		}
	}

	/** Closes the connection after a response has ended unless another one follows; announces this in the head if it has not been sent. */
	#closeConnectionAfter(res: http.ServerResponse): void {
		if (!res.headersSent && this.#order.isLast(res)) {
			res.setHeader('Connection', 'close');
		}

		res.once('finish', () => {
			if (this.#order.isLast(res)) {
				clients.connections.closeAfterResponse(res.req.socket, !res.req.complete || this.#closing.has(res));
			}
		});
	}

	#closeAfterInvalidBytes(res: http.ServerResponse): void {
		if (!this.#closing.has(res)) {
			this.#closing.add(res);
			this.#closeConnectionAfter(res);
		}
	}

	/** A response is open until its last byte was passed on to the connection, or the connection was closed. */
	#forgetWhenClosed(res: http.ServerResponse, keepAliveMs: number): void {
		const {socket} = res.req;
		const forget = (): void => {
			this.#openResponses.delete(res);
			this.#connections.onResponseEnd(socket, this.dependencies.clock.monotonicNow());
			this.#idle.record(socket, keepAliveMs, this.dependencies.clock.monotonicNow());
		};

		if (res.closed || res.destroyed) {
			forget();
		} else {
			res.once('close', forget);
		}
	}

	/** Closes a connection on which nothing has arrived for the time that applied when it became idle, unless a longer one applies now. */
	#closeIdle(socket: net.Socket): void {
		const remainingMs = this.#idle.getRemainingMs(socket, this.#server.keepAliveTimeout, this.dependencies.clock.monotonicNow());
		if (remainingMs > 0) {
			socket.setTimeout(Math.ceil(remainingMs));
		} else {
			void clients.connections.closeIdle(socket);
		}
	}

	async #handleRequest(undecoded: refusalSender.UndecodedRequest): Promise<void> {
		const decoded = this.#decodeHead(undecoded.req);
		if (decoded.isLeft()) {
			const findings = (decoded.extract()).map(item => `${item.place}: ${item.problem}`);
			this.dependencies.log.write(eventLog.LogEvent.RequestRejected, {code: call.RefusalCode.MalformedRequest, findings: findings.join('; ')});
			await this.#refusals.send(undecoded, {code: call.RefusalCode.MalformedRequest, findings});
			return;
		}

		const head = decoded.extract() as ports.RequestHead;
		const ctx: call.RequestContext = {...undecoded, head};
		this.#contexts.set(ctx.res, ctx);
		let refusal: call.Refusal | undefined = {code: call.RefusalCode.InternalError};
		try {
			refusal = await this.#process(ctx);
		} catch (err) {
			this.#log.writeError(err);
		}

		if (refusal !== undefined) {
			await this.#refusals.send(ctx, refusal);
		}

		this.#log.writeEnd(ctx, refusal, this.dependencies.clock.monotonicNow());
		this.#log.watchUnsent(ctx);
	}

	#decodeHead(req: http.IncomingMessage): ReturnType<ports.CallerProtocol['decodeRequestHead']> {
		return this.dependencies.protocol.decodeRequestHead({method: req.method ?? '', target: req.url ?? '', rawHeaders: req.rawHeaders});
	}

	#logDropped(req: http.IncomingMessage): void {
		this.#log.writeDropped(this.#decodeHead(req).map(head => head.requestId).toMaybe().extract());
	}

	async #process(ctx: call.RequestContext): Promise<call.Refusal | undefined> {
		// What arrived together with the request is read one turn of the event loop later: a newer configuration, the end of the connection.
		await clients.timeouts.waitForTurn();
		const wasComplete = ctx.req.complete;
		for (const filter of this.dependencies.filters) {
			const refusal = await filter.check(ctx); // eslint-disable-line no-await-in-loop -- Filters follow one another.
			if (refusal !== undefined) {
				return refusal;
			}
		}

		if (!wasComplete) {
			await clients.timeouts.waitForTurn();
		}

		return call.isCallerDisconnected(ctx) ? undefined : this.dependencies.dispatcher.dispatch(ctx as call.RoutedRequest);
	}

	#logTurnedAway(reason: core.log.TurnAwayReason, address: string | undefined): void {
		this.dependencies.log.write(eventLog.LogEvent.CallerTurnedAway, {reason, address});
	}

	#closeSlowHeads(): void {
		for (const {remoteAddress} of this.#connections.closeSlowHeads()) {
			this.#logTurnedAway(core.log.TurnAwayReason.HeadMemory, remoteAddress);
		}
	}
}
