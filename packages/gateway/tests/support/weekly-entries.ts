import {Buffer} from 'node:buffer';
import * as core from '@bluebellmast/core';
import type * as kv from '@bluebellmast/kv';
import * as gateway from '@bluebellmast/gateway';

const {ports} = gateway;
const engineCount = 8;
const plainCount = 3;
const accountCount = 4;
const vmCount = 6;
const firstBornAt = 1_700_000_000_000;
/** Hours between changes of the models and pools, and of the named versions. */
const hoursPerModel = 2;
const hoursPerVersion = 6;

/** Pool of the engines. */
export const enginePool = 'engines';

/** What the store lists in one hour of the simulated week. */
export type HourlyState = {
	readonly config: core.routing.GatewayConfig;
	/** Named version by model. */
	readonly targets: ReadonlyMap<string, number>;
	/** Endpoints without the weights of the engines. */
	readonly endpoints: ReadonlyArray<Omit<core.fleet.EndpointEntry, 'weights'>>;
	readonly vms: readonly string[];
};

/**
 * Describes an hour. Each hour one engine, one account and one VM is replaced by another one, and one engine restarts; every second hour also one
 * of two models and the plain pool, and every sixth hour a version is named.
 */
export function describeHour(hour: number): HourlyState {
	const generation = Math.floor(hour / hoursPerModel);
	const models = [`m-${generation}`, `m-${generation + 1}`];
	const plainPool = `plain-${generation}`;
	const engines = range(hour, engineCount).map((number, slot) => createEndpoint(`engine-${number}`, enginePool, slot === 1 ? hour : 0));
	const plain = range(0, plainCount).map(number => createEndpoint(`${plainPool}-${number}`, plainPool, 0));
	return {
		config: {
			version: hour + 1,
			routes: [
				createRoute('chat', enginePool, core.routing.RouteKind.Streaming),
				createRoute('plain', plainPool, core.routing.RouteKind.Safe),
			],
			pools: [
				{
					name: enginePool, healthPath: '/', connectionLimit: 8, engine: {
						slots: 8, memoryTokens: 100_000, bytesPerToken: 1000, linkMbps: 1000, models,
					},
				},
				{name: plainPool, healthPath: '/', connectionLimit: 8},
			],
			cacheStores: [],
			limits: {
				headerBytes: 16_384, bodyBytes: 100_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
			},
			accounts: range(hour, accountCount).map(number => ({name: `account-${number}`, keys: [`key-${number}`], isIsolated: number % 2 === 0})),
		},
		targets: new Map(models.map(model => [model, 1 + Math.floor(hour / hoursPerVersion)])),
		endpoints: [...engines, ...plain],
		vms: range(hour, vmCount).map(number => `vm-${number}`),
	};
}

/** Decodes entries whose values are the JSON of the decoded items. */
export class WeeklyDecoder implements gateway.ports.StoreDecoder {
	readonly prefixes: gateway.ports.StorePrefixes = {operator: 'operator/', endpoints: 'endpoints/'};

	decode(entry: kv.kv.KvEntry): gateway.ports.DecodedStoreEntry {
		const json = JSON.parse(Buffer.from(entry.value).toString()) as never;
		if (entry.key === 'operator/config') {
			return {type: ports.StoreEntryType.Config, config: json};
		}

		if (entry.key.startsWith('operator/')) {
			return {type: ports.StoreEntryType.WeightTarget, ...(json as {readonly model: string; readonly version: number})};
		}

		const {weights, ...endpoint} = json as Omit<core.fleet.EndpointEntry, 'weights'> & {readonly weights: ReadonlyArray<[string, number]>};
		return {type: ports.StoreEntryType.Endpoint, entry: {...endpoint, weights: new Map(weights)}};
	}

	endpointIdOf(key: string): string | undefined {
		return key.startsWith(this.prefixes.endpoints) ? key.slice(this.prefixes.endpoints.length) : undefined;
	}
}

function createEndpoint(id: string, pool: string, restarts: number): HourlyState['endpoints'][number] {
	return {
		id, bornAt: firstBornAt + restarts, pool, address: '127.0.0.1:9', dataCentre: 'a', slots: 8, state: core.fleet.EndpointState.Ready,
	};
}

function createRoute(name: string, pool: string, kind: core.routing.RouteKind): core.routing.Route {
	return {
		name, host: 'a', prefix: `/${name}/`, kind, pools: [{pool, weight: 1}], timeoutMs: 8000, targetLatencyMs: 500, priority: 0, maxAttempts: 2,
		isPublic: false, namesPromptParts: true, isResumable: true, gapTargetMs: 300,
	};
}

function range(from: number, count: number): number[] {
	return Array.from({length: count}, (_, index) => from + index);
}
