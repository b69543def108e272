/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import * as crypto from 'node:crypto';
import type * as http from 'node:http';
import * as wire from '@bluebellmast/wire';
import * as fault from '../fault/index.js';
import * as util from '../util/index.js';
import * as batchScheduler from './batch-scheduler.js';
import * as cacheEventFeed from './cache-event-feed.js';
import * as cacheTransfer from './cache-transfer.js';
import * as engineOptions from './engine-options.js';
import * as engineTask from './engine-task.js';
import * as loadReporter from './load-reporter.js';
import * as prefixCache from './prefix-cache.js';
import * as streamWriter from './stream-writer.js';
import * as taskTable from './task-table.js';
import * as weightManager from './weight-manager.js';

/** Record of a request that the engine started, read by the checkers of a run. */
export type EngineRecord = {
	readonly engine: string;
	readonly incarnation: string;
	/** Arrival time in milliseconds since the Unix epoch. */
	readonly arrivedAt: number;
	readonly requestId: string;
	readonly attemptId: string;
	readonly account: string;
	readonly weights: string;
	readonly salt: string;
	readonly promptTokens: number;
	/** Cached pieces that were reused, with the account and weights that they were computed for. */
	readonly hits: readonly prefixCache.CachedPiece[];
};

const streamPathPattern = /^\/v1\/streams\/([^/]+)$/;

/** Simulated model engine: streams deterministic completions and serves the engine protocol over HTTP. */
export class EngineStandIn implements fault.StandIn {
	readonly server: fault.StandInServer;
	readonly incarnation = crypto.randomUUID();
	readonly #settings: engineOptions.EngineSettings;
	readonly #cache: prefixCache.PrefixCache;
	readonly #cacheEvents: cacheEventFeed.CacheEventFeed;
	readonly #scheduler: batchScheduler.BatchScheduler;
	readonly #tasks: taskTable.TaskTable;
	readonly #weightManager: weightManager.WeightManager;
	readonly #cacheTransfer: cacheTransfer.CacheTransfer;
	readonly #loadReporter: loadReporter.LoadReporter;
	readonly #recorder: util.Recorder<EngineRecord>;
	#taskCount = 0;

	constructor(options: engineOptions.EngineOptions) {
		this.#settings = engineOptions.fillDefaults(options);
		this.#recorder = new util.Recorder(options.recordFile);
		this.server = new fault.StandInServer(options, async (req, res, arrivedAt) => this.#handle(req, res, arrivedAt), {
			record: () => this.records(),
		}, request => {
			if (request.fault === fault.FaultName.Crash) {
				this.#stopWork();
			}
		});
		this.#cacheEvents = new cacheEventFeed.CacheEventFeed(
			this.incarnation,
			this.#settings,
			() => this.server.faults,
			new util.Random(this.#settings.seed),
		);
		this.#cache = new prefixCache.PrefixCache(this.#settings.cacheLimitTokens, this.#cacheEvents);
		this.#cacheTransfer = new cacheTransfer.CacheTransfer(this.#cache, this.#settings.transferPieceMs);
		this.#tasks = new taskTable.TaskTable(this.#settings.resumeWindowMs);
		this.#scheduler = new batchScheduler.BatchScheduler(this.#settings, this.#cache, this.server.faults, task => {
			this.#addRecord(task);
		});
		this.#weightManager = new weightManager.WeightManager({
			weights: this.#settings.weights,
			checksFencing: this.#settings.checksFencing,
			loadMs: this.#settings.loadMs,
			weightStore: options.weightStore,
			onUnload: weights => {
				this.#cache.evictWeights(weights);
			},
		});
		this.#loadReporter = new loadReporter.LoadReporter(this.#settings.loadLagMs, sequence => this.#createLoadReport(sequence));
	}

	async start(): Promise<fault.StandInAddresses> {
		this.#loadReporter.start();
		return this.server.start();
	}

	async stop(): Promise<void> {
		this.#stopWork();
		await this.server.stop();
	}

	/** Returns the records of the requests that were started. */
	records(): readonly EngineRecord[] {
		return this.#recorder.list();
	}

	#stopWork(): void {
		this.#loadReporter.stop();
		this.#cacheEvents.stop();
		this.#scheduler.stop();
		this.#tasks.stop();
	}

	async #handle(req: http.IncomingMessage, res: http.ServerResponse, arrivedAt: number): Promise<void> {
		const path = util.pathOf(req);
		const streamMatch = streamPathPattern.exec(path);
		if (streamMatch) {
			this.#handleStream(req, res, decodeURIComponent(streamMatch[1]!));
			return;
		}

		switch (`${req.method} ${path}`) {
			case 'POST /v1/chat/completions': {
				await this.#handleCompletion(req, res, arrivedAt);
				break;
			}

			case 'GET /v1/cache-events': {
				this.#cacheEvents.addSubscriber(res);
				break;
			}

			default: {
				await this.#handleControl(req, res, `${req.method} ${path}`);
			}
		}
	}

	async #handleControl(req: http.IncomingMessage, res: http.ServerResponse, route: string): Promise<void> {
		const body = await util.readJson(req);
		const answer = await this.#executeControlCall(route, body);
		await this.server.faults.waitBeforeResponse();
		util.sendJson(res, answer === undefined ? 404 : 200, answer ?? {code: 'not_found'});
	}

	async #executeControlCall(route: string, body: unknown): Promise<unknown> {
		switch (route) {
			case 'GET /v1/load': {
				return this.#loadReporter.reportAt(Date.now());
			}

			case 'GET /v1/holdings': {
				return this.#createHoldings();
			}

			case 'POST /v1/orders': {
				return this.#weightManager.executeOrder(body as wire.endpoint.EngineOrder);
			}

			case 'POST /v1/cache/export': {
				return this.#cacheTransfer.export(body as wire.endpoint.CacheTransferRequest);
			}

			case 'POST /v1/cache/import': {
				return this.#cacheTransfer.import(body as wire.endpoint.CacheTransferRequest);
			}

			default: {
				return undefined;
			}
		}
	}

	async #handleCompletion(req: http.IncomingMessage, res: http.ServerResponse, arrivedAt: number): Promise<void> {
		const request = await readTaskRequest(req, arrivedAt);
		if (!this.#weightManager.isLoaded(request.weights)) {
			await this.server.faults.waitBeforeResponse();
			util.sendJson(res, 409, {code: 'weights_not_loaded', message: request.weights}, this.#createHeaders(request));
			return;
		}

		if (this.#tasks.get(request.attemptId)) {
			util.sendJson(res, 409, {code: 'attempt_exists', message: request.attemptId}, this.#createHeaders(request));
			return;
		}

		this.#taskCount += 1;
		const task = new engineTask.EngineTask(request, this.#taskCount, this.#settings.charsPerToken);
		this.#tasks.add(task);
		this.#scheduler.enqueue(task);
		if (request.body.stream) {
			this.#streamEvents(task, res, 0);
			return;
		}

		await this.#sendCompletion(task, res);
	}

	#handleStream(req: http.IncomingMessage, res: http.ServerResponse, attemptId: string): void {
		const task = this.#tasks.get(attemptId);
		if (!task) {
			util.sendJson(res, 404, {code: 'not_found', message: attemptId});
			return;
		}

		if (req.method === 'DELETE') {
			task.cancel();
			res.writeHead(204).end();
			return;
		}

		const lastEventId = util.headerOf(req, wire.http.HeaderName.LastEventId);
		this.#streamEvents(task, res, lastEventId === '' ? 0 : Number(lastEventId) + 1);
	}

	#streamEvents(task: engineTask.EngineTask, res: http.ServerResponse, firstEventIndex: number): void {
		res.writeHead(200, {'content-type': wire.http.MediaType.EventStream, ...this.#createHeaders(task.request)});
		res.flushHeaders();
		this.#tasks.cancelExpiry(task);
		streamWriter.writeStream(task, res, this.server.faults, {
			firstEventIndex,
			heartbeatMs: this.#settings.heartbeatMs,
			onClose: () => {
				this.#tasks.scheduleExpiry(task);
			},
		});
	}

	async #sendCompletion(task: engineTask.EngineTask, res: http.ServerResponse): Promise<void> {
		res.once('close', () => {
			task.cancel();
			this.#tasks.scheduleExpiry(task);
		});
		await waitForEnd(task);
		await this.server.faults.waitBeforeResponse();
		if (task.state === engineTask.TaskState.Cancelled) {
			res.destroy();
			return;
		}

		const completion: wire.endpoint.Completion = {
			id: task.request.requestId,
			object: 'chat.completion',
			model: task.request.body.model,
			choices: [{index: 0, message: {role: 'assistant', content: task.text}, finish_reason: task.finishReason}],
			usage: task.usage,
		};
		util.sendJson(res, 200, completion, this.#createHeaders(task.request));
	}

	#createHeaders(request: engineTask.TaskRequest): Record<string, string> {
		return {
			[wire.http.HeaderName.RequestId]: request.requestId,
			[wire.http.HeaderName.AttemptId]: request.attemptId,
			[wire.http.HeaderName.EngineIncarnation]: this.incarnation,
			[wire.http.HeaderName.Weights]: request.weights,
		};
	}

	#addRecord(task: engineTask.EngineTask): void {
		const {requestId, attemptId, account, weights, arrivedAt, body} = task.request;
		this.#recorder.add({
			engine: this.#settings.name,
			incarnation: this.incarnation,
			arrivedAt,
			requestId,
			attemptId,
			account,
			weights,
			salt: body.cache_salt,
			promptTokens: task.promptTokens,
			hits: task.hits,
		});
	}

	#createHoldings(): wire.endpoint.EngineHoldings {
		return {
			incarnation: this.incarnation,
			role: this.#weightManager.role,
			weights: this.#weightManager.weights,
			loading: this.#weightManager.loading,
			fencing: this.#weightManager.fencing,
		};
	}

	#createLoadReport(sequence: number): wire.endpoint.LoadReport {
		return {
			incarnation: this.incarnation,
			sequence,
			running: this.#scheduler.runningCount,
			queued: this.#scheduler.queuedCount,
			queuedTokens: this.#scheduler.uncomputedPromptTokens,
			cachedTokens: this.#cache.tokenCount,
			cacheLimitTokens: this.#settings.cacheLimitTokens,
			weights: this.#weightManager.weights,
			leaving: this.server.faults.isLeaving,
		};
	}
}

/** Creates an engine stand-in. */
export function createEngine(options: engineOptions.EngineOptions = {}): EngineStandIn {
	return new EngineStandIn(options);
}

async function readTaskRequest(req: http.IncomingMessage, arrivedAt: number): Promise<engineTask.TaskRequest> {
	const body = await util.readJson(req) as wire.endpoint.EngineCompletionRequest;
	return {
		requestId: util.headerOf(req, wire.http.HeaderName.RequestId),
		attemptId: util.headerOf(req, wire.http.HeaderName.AttemptId),
		account: util.headerOf(req, wire.http.HeaderName.Account),
		weights: util.headerOf(req, wire.http.HeaderName.Weights),
		arrivedAt,
		body,
	};
}

async function waitForEnd(task: engineTask.EngineTask): Promise<void> {
	return new Promise(resolve => {
		const check = () => {
			if (task.isEnded) {
				removeListener();
				resolve();
			}
		};

		const removeListener = task.addListener(check);
		check();
	});
}
