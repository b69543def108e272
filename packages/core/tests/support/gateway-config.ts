import * as core from '@bluebellmast/core';

/** Creates a route with defaults for the fields that a test does not set. */
export function createRoute(changes: Partial<core.routing.Route> = {}): core.routing.Route {
	return {
		name: 'route',
		host: 'a.example',
		prefix: '/',
		kind: core.routing.RouteKind.Safe,
		pools: [{pool: 'p', weight: 1}],
		timeoutMs: 1000,
		targetLatencyMs: 100,
		priority: 0,
		maxAttempts: 2,
		isPublic: false,
		namesPromptParts: false,
		isResumable: false,
		gapTargetMs: 300,
		...changes,
	};
}

/** Creates a configuration with defaults for the fields that a test does not set. */
export function createConfig(changes: Partial<core.routing.GatewayConfig> = {}): core.routing.GatewayConfig {
	return {
		version: 1,
		routes: [createRoute()],
		pools: [],
		cacheStores: [],
		limits: {
			headerBytes: 16_384, bodyBytes: 1_000_000, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
		},
		...changes,
	};
}
