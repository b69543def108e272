import type * as core from '@bluebellmast/core';
import type * as metrics from './metrics/index.js';
import type * as listen from './util/listen.js';

/** What a gateway process learns from its settings. */
export type GatewaySettings = {
	/** Name of the VM. */
	readonly vm: string;
	readonly dataCentre: string;
	/** Where callers connect. */
	readonly listen: listen.ListenAddress;
	/** Where the balancer asks for readiness. */
	readonly readiness: listen.ListenAddress;
	/** Where other VMs send digests of their load. */
	readonly peers: listen.ListenAddress;
	/** Where metrics are served; nowhere if absent. */
	readonly metrics?: metrics.MetricsAddress;
	/** Path of the readiness question. */
	readonly readinessPath: string;
	readonly configAgeLimits: core.routing.ConfigAgeLimits;
	readonly retryWindow: core.fleet.RetryWindowLimits;
	/** Time from SIGTERM until the process is killed, in milliseconds. */
	readonly graceMs: number;
	/** Longest time for which older weights may be used after newer ones were named, in milliseconds. */
	readonly maxOutdatedWeightsMs: number;
	/** Shortest time between orders of two leaders, in milliseconds. */
	readonly leaderOrderGapMs: number;
};
