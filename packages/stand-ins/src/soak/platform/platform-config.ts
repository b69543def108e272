/* eslint-disable @typescript-eslint/naming-convention -- Field names of the platform. */
import * as check from '../../check/index.js';

/** A route of every configuration. */
export type SoakRoute = {
	readonly name: string;
	readonly kind: check.platform.RequestKind;
	readonly service: string;
	readonly attempts: number;
	readonly timeoutMs: number;
	/** Whether requests need no API key; false by default. */
	readonly isPublic?: boolean;
};

/** Services with the model of each; the plain service has none. */
export const services: ReadonlyArray<{readonly name: string; readonly model?: string}> = [
	{name: 'chat', model: 'model-chat'},
	{name: 'code', model: 'model-code'},
	{name: 'plain'},
];

/** Models of the engines. */
export const models = services.flatMap(({model}) => model === undefined ? [] : [model]);

export const hostName = 'soak.example';
/** Quota of each client account, in requests: about what clients ask without a burst. */
export const accountQuota = {requestsPerSecond: 12, burst: 12};
const streamTimeoutMs = 8000;
const plainTimeoutMs = 3000;

/** Creates a route that a configuration may add to the others; it leads to the plain service. */
export function createExtraRoute(name: string, kind: check.platform.RequestKind): SoakRoute {
	return {
		name, kind, service: 'plain', attempts: 2, timeoutMs: plainTimeoutMs,
	};
}

/** Creates the routes of every configuration. */
export function createBaseRoutes(): SoakRoute[] {
	const kinds = check.platform.RequestKind;
	return [
		{
			name: 'chat', kind: kinds.Resumable, service: 'chat', attempts: 2, timeoutMs: streamTimeoutMs,
		},
		{
			name: 'code', kind: kinds.Once, service: 'code', attempts: 2, timeoutMs: streamTimeoutMs,
		},
		{
			name: 'book', kind: kinds.Unsafe, service: 'plain', attempts: 2, timeoutMs: plainTimeoutMs,
		},
		{
			name: 'look', kind: kinds.Safe, service: 'plain', attempts: 2, timeoutMs: plainTimeoutMs,
		},
		{
			name: 'post', kind: kinds.Unsafe, service: 'plain', attempts: 2, timeoutMs: plainTimeoutMs, isPublic: true,
		},
		{
			name: 'view', kind: kinds.Safe, service: 'plain', attempts: 2, timeoutMs: plainTimeoutMs, isPublic: true,
		},
	];
}

/** Creates the value of `op/config`. */
export function createConfig(
	version: number,
	routes: readonly SoakRoute[],
	accounts: Readonly<Record<string, string>>,
	idleTimeoutMs: number,
): Readonly<Record<string, unknown>> {
	return {
		version,
		routes: routes.map(route => createRoute(route)),
		services: services.map(({name, model}) => ({
			name, health_path: '/health', connection_limit: 200, protocol: 'h1', tls: false,
			...(model !== undefined && {
				engine: {
					slots: 8, kv_capacity_tokens: 100_000, kv_token_bytes: 1000, link_mbps: 1000, models: [{name: model}],
				},
			}),
		})),
		limits: {
			header_bytes: 16_384, body_bytes: 100_000, header_timeout_ms: 3000, idle_timeout_ms: idleTimeoutMs,
		},
		tenants: Object.entries(accounts).map(([key, name]) => ({
			name, keys: [key], isolated: false, unit: 'requests', requests_per_s: accountQuota.requestsPerSecond, burst: accountQuota.burst,
		})),
	};
}

function createRoute(route: SoakRoute): Readonly<Record<string, unknown>> {
	const isStream = route.kind === check.platform.RequestKind.Resumable || route.kind === check.platform.RequestKind.Once;
	return {
		name: route.name,
		host: hostName,
		prefix: `/${route.name}/`,
		kind: isStream ? 'streaming' : route.kind,
		timeout_ms: route.timeoutMs,
		target_latency_ms: 500,
		priority: isStream ? 0 : 2,
		service: route.service,
		attempts: route.attempts,
		public: route.isPublic ?? false,
		...(isStream && {sticky: true, resumable: route.kind === check.platform.RequestKind.Resumable, gap_target_ms: 300}),
	};
}
