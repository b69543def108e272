import * as crypto from 'node:crypto';
import * as wire from '@bluebellmast/wire';
import * as undici from 'undici';
import * as deployment from '../deployment/index.js';
import type * as load from '../load/index.js';

/** Durations of a call, in milliseconds. */
export type CallTimes = {
	/** Time to the first byte of the response body. */
	readonly firstByteMs: number;
	/** Time to the end of the response. */
	readonly totalMs: number;
};

/** Makes one call and returns its durations. */
export type Call = () => Promise<CallTimes>;

/** Base URLs of the processes to call, and the account and weights to name. */
export type CallTargets = {
	readonly account: load.LoadAccount;
	readonly router: string;
	readonly engine: string;
	readonly runner: string;
	readonly weights: string;
	readonly agent: undici.Dispatcher;
};

const maxTokens = 16;
const promptChars = 32_000;
const messages = [{role: 'user', content: 'handbook '.repeat(promptChars / 9)}];

/** Creates the calls to compare: a plain service and streamed chat, each direct and through a router. */
export function createCalls(targets: CallTargets): Readonly<Record<'serviceDirect' | 'serviceRouted' | 'chatDirect' | 'chatRouted', Call>> {
	const headers = {[wire.http.HeaderName.Authorization]: `Bearer ${targets.account.key}`};
	return {
		serviceDirect: async () => measure(`${targets.runner}/pitches`, {method: 'GET', dispatcher: targets.agent}),
		serviceRouted: async () => measure(`${targets.router}/v1/services/${deployment.bookingServiceName}/pitches`, {
			method: 'GET', dispatcher: targets.agent, headers,
		}),
		chatDirect: async () => measure(`${targets.engine}/v1/chat/completions`, {
			method: 'POST', dispatcher: targets.agent, headers: engineHeaders(targets), body: JSON.stringify(engineBody),
		}),
		chatRouted: async () => measure(`${targets.router}/v1/chat/completions`, {
			method: 'POST', dispatcher: targets.agent, headers, body: JSON.stringify(callerBody),
		}),
	};
}

/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
const callerBody = {
	model: deployment.modelName, messages, stream: true, max_tokens: maxTokens,
};
const engineBody: wire.endpoint.EngineCompletionRequest = {
	...callerBody,
	priority: 1,
	cache_salt: 'direct',
	prefix: Array.from({length: 4}, (_, index) => ({key: `piece-${index}`, tokens: 2000})),
};
/* eslint-enable @typescript-eslint/naming-convention */

function engineHeaders(targets: CallTargets): Record<string, string> {
	return {
		[wire.http.HeaderName.RequestId]: crypto.randomUUID(),
		[wire.http.HeaderName.AttemptId]: crypto.randomUUID(),
		[wire.http.HeaderName.Account]: targets.account.id,
		[wire.http.HeaderName.Weights]: targets.weights,
	};
}

async function measure(url: string, options: Parameters<typeof undici.request>[1]): Promise<CallTimes> {
	const startedAt = performance.now();
	const res = await undici.request(url, options);
	let firstByteMs: number | undefined;
	let bytes = 0;
	for await (const chunk of res.body) {
		firstByteMs ??= performance.now() - startedAt;
		bytes += (chunk as Uint8Array).length;
	}

	if (res.statusCode !== 200 || bytes === 0) {
		throw new Error(`${url} responded with status ${res.statusCode} and ${bytes} bytes`);
	}

	const totalMs = performance.now() - startedAt;
	return {firstByteMs: firstByteMs ?? totalMs, totalMs};
}
