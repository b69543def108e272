import {Buffer} from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import type * as wire from '@bluebellmast/wire';
import * as purify from 'purify-ts';
import * as undici from 'undici';

/** Result of a call: the value, or an error message. */
export type RouterResult<Value> = Promise<purify.Either<string, Value>>;

/** Client of the admin API of one router. */
export interface RouterClient { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	readonly url: string;
	status(): RouterResult<wire.http.RouterStatus>;
	timeline(filter: core.timeline.TimelineFilter): RouterResult<readonly core.timeline.TimelineEvent[]>;
}

type JsonObject = Readonly<Record<string, unknown>>;

const callTimeoutMs = 2000;
const maxResponseBytes = 64 * 1024 * 1024;

/** Client of one router over HTTP. */
export class HttpRouterClient implements RouterClient {
	readonly url: string;
	readonly #operatorKey: string | undefined;

	constructor(url: string, operatorKey: string | undefined) {
		this.url = url.replace(/\/$/, '');
		this.#operatorKey = operatorKey;
	}

	async status(): RouterResult<wire.http.RouterStatus> {
		const result = await this.#get('/admin/status');
		return result.chain(value => toStatus(value));
	}

	async timeline(filter: core.timeline.TimelineFilter): RouterResult<readonly core.timeline.TimelineEvent[]> {
		const query = new URLSearchParams(Object.entries({
			request: filter.requestId, endpoint: filter.endpoint, account: filter.account, generation: filter.generation,
		}).flatMap(([key, value]) => value === undefined ? [] : [[key, String(value)] as [string, string]]));
		const result = await this.#get(`/admin/timeline?${query.toString()}`);
		return result.map(value => {
			const events = (value as {events?: readonly core.timeline.TimelineEvent[]}).events ?? [];
			return events.filter(event => core.timeline.matchesFilter(event, filter));
		});
	}

	async #get(path: string): RouterResult<JsonObject> {
		const deadline = new clients.timeouts.CallDeadline(callTimeoutMs);
		try {
			const {statusCode, body} = await undici.request(this.url + path, {
				headers: this.#operatorKey === undefined ? {} : {authorization: `Bearer ${this.#operatorKey}`},
				signal: deadline.signal,
			});
			const text = await readBounded(body);
			if (statusCode !== 200) {
				return purify.Left(`HTTP status ${statusCode}${statusCode === 401 ? '; check the operator key' : ''}`);
			}

			return expectObject(JSON.parse(text));
		} catch (err) {
			return purify.Left(err instanceof Error ? err.message : String(err));
		} finally {
			deadline.clear();
		}
	}
}

async function readBounded(body: AsyncIterable<Uint8Array>): Promise<string> {
	const parts: Uint8Array[] = [];
	let size = 0;
	for await (const part of body) {
		size += part.length;
		if (size > maxResponseBytes) {
			throw new Error(`response exceeds ${maxResponseBytes} bytes`);
		}

		parts.push(part);
	}

	return Buffer.concat(parts).toString();
}

function expectObject(value: unknown): purify.Either<string, JsonObject> {
	return typeof value === 'object' && value !== null ? purify.Right(value as JsonObject) : purify.Left('response is not a JSON object');
}

function toStatus(value: JsonObject): purify.Either<string, wire.http.RouterStatus> {
	const status = value as Partial<wire.http.RouterStatus>;
	if (typeof status.vm !== 'string' || typeof status.generation !== 'number' || typeof status.confirmed !== 'boolean') {
		return purify.Left('response is not a router status: vm, generation or confirmed is missing or has the wrong type');
	}

	return purify.Right({
		vm: status.vm,
		incarnation: status.incarnation ?? '',
		dataCentre: status.dataCentre ?? '',
		ready: status.ready ?? false,
		stopping: status.stopping ?? false,
		generation: status.generation,
		confirmed: status.confirmed,
		requestsUnderWay: status.requestsUnderWay ?? 0,
		members: status.members ?? [],
		endpoints: status.endpoints ?? [],
		counters: status.counters ?? {},
	});
}
