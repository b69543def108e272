/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import * as core from '@bluebellmast/core';
import * as undici from 'undici';
import * as wire from '@bluebellmast/wire';
import * as deploymentProfile from './deployment-profile.js';

/** Summary of a completed stream. */
export type StreamSummary = {
	readonly incarnation: string;
	readonly firstTokenAt: number;
	readonly tokens: number;
	readonly cachedTokens: number;
};

/** Callbacks of one attempt. */
export type AttemptListener = {
	onFirstToken(now: number): void;
};

const headersTimeoutMs = 10_000;

/** HTTP client of one engine. */
export class EngineClient {
	readonly #pool: undici.Pool;

	constructor(private readonly origin: string) {
		this.#pool = new undici.Pool(origin, {connections: 256, pipelining: 1, headersTimeout: headersTimeoutMs});
	}

	/** Sends a streaming completion and reads the stream to its end. Rejects when the engine fails or the signal aborts. */
	async complete(
		request: core.placement.PlacementRequest,
		attemptId: string,
		signal: AbortSignal,
		listener: AttemptListener,
	): Promise<StreamSummary> {
		const res = await this.#pool.request({
			method: 'POST',
			path: '/v1/chat/completions',
			headers: {
				'content-type': wire.http.MediaType.Json,
				[wire.http.HeaderName.RequestId]: request.requestId,
				[wire.http.HeaderName.AttemptId]: attemptId,
				[wire.http.HeaderName.Account]: request.account,
				[wire.http.HeaderName.Weights]: request.weights!,
			},
			body: JSON.stringify(createBody(request)),
			signal,
		});
		if (res.statusCode !== 200) {
			await res.body.dump();
			throw new Error(`engine responded with status ${res.statusCode}`);
		}

		const incarnation = res.headers[wire.http.HeaderName.EngineIncarnation];
		return readStream(res.body, String(incarnation), listener);
	}

	/** Cancels an attempt at the engine. */
	async cancel(attemptId: string): Promise<void> {
		const res = await this.#pool.request({method: 'DELETE', path: `/v1/streams/${attemptId}`});
		await res.body.dump();
	}

	/** Fetches the load report. */
	async fetchLoadReport(): Promise<wire.endpoint.LoadReport> {
		const res = await this.#pool.request({method: 'GET', path: '/v1/load'});
		return await res.body.json() as wire.endpoint.LoadReport;
	}

	/** Reads the stream of cache events until the connection ends. */
	async followCacheEvents(onEvent: (event: wire.endpoint.CacheEvent) => void): Promise<void> {
		const res = await undici.request(`${this.origin}/v1/cache-events`, {bodyTimeout: 0});
		let incompleteLine = '';
		for await (const part of res.body) {
			const lines = (incompleteLine + String(part)).split('\n');
			incompleteLine = lines.pop()!;
			for (const line of lines.filter(text => text.startsWith('data: '))) {
				onEvent(JSON.parse(line.slice('data: '.length)) as wire.endpoint.CacheEvent);
			}
		}
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await this.#pool.destroy();
	}
}

function createBody(request: core.placement.PlacementRequest): wire.endpoint.EngineCompletionRequest {
	return {
		model: deploymentProfile.weights.model,
		messages: [{role: 'user', content: request.requestId}],
		stream: true,
		max_tokens: request.maxTokens,
		priority: 0,
		cache_salt: core.cache.saltOfKey(request.account, request.weights!),
		prefix: [...request.pieces, {key: request.requestId, tokens: deploymentProfile.questionTokens}],
	};
}

async function readStream(body: AsyncIterable<unknown>, incarnation: string, listener: AttemptListener): Promise<StreamSummary> {
	let incompleteLine = '';
	let firstTokenAt: number | undefined;
	let tokens = 0;
	let lastLine = '';
	for await (const part of body) {
		const lines = (incompleteLine + String(part)).split('\n');
		incompleteLine = lines.pop()!;
		const data = lines.filter(line => line.startsWith('data: {'));
		if (data.length > 0 && firstTokenAt === undefined) {
			firstTokenAt = Date.now();
			listener.onFirstToken(firstTokenAt);
		}

		tokens += data.length;
		lastLine = data.at(-1) ?? lastLine;
	}

	const chunk = JSON.parse(lastLine.slice('data: '.length)) as wire.endpoint.CompletionChunk;
	if (chunk.usage === undefined || firstTokenAt === undefined) {
		throw new Error('stream ended before its usage chunk');
	}

	return {
		incarnation, firstTokenAt, tokens: tokens - 1, cachedTokens: chunk.usage.prompt_tokens_details.cached_tokens,
	};
}
