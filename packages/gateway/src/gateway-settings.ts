import type * as core from '@bluebellmast/core';
import type * as metrics from './metrics/index.js';
import type * as listen from './util/listen.js';

/** Settings of a gateway process. */
export type GatewaySettings = {
	/** Name of the VM. */
	readonly vm: string;
	readonly dataCentre: string;
	/** Address to which callers connect. */
	readonly listen: listen.ListenAddress;
	/** Address at which the load balancer checks readiness. */
	readonly readiness: listen.ListenAddress;
	/** Address to which other VMs send their load digests. */
	readonly peers: listen.ListenAddress;
	/** Address at which this VM opens connections to endpoints for other VMs. */
	readonly tunnels: listen.ListenAddress;
	/** Address at which metrics are served; no metrics are served if absent. */
	readonly metrics?: metrics.MetricsAddress;
	/** HTTP path of the readiness check. */
	readonly readinessPath: string;
	readonly configAgeLimits: core.routing.ConfigAgeLimits;
	readonly retryWindow: core.fleet.RetryWindowLimits;
	/** Time from SIGTERM until the process is killed, in milliseconds. */
	readonly graceMs: number;
	/** How long older weights may be used after a newer version was named, in milliseconds. */
	readonly maxOutdatedWeightsMs: number;
	/** Shortest time between orders of two leaders, in milliseconds. */
	readonly leaderOrderGapMs: number;
	/** Time for which an endpoint that announced that it is leaving may still get new requests, in milliseconds; 0 if none are allowed. */
	readonly drainMs: number;
	/** Interval at which endpoints renew their entries in the store, in milliseconds; that of {@link core.store.defaultLapseOptions} by default. */
	readonly endpointHeartbeatMs?: number;
	/** How far the usage of all VMs may exceed the quota of an account; {@link core.quota.defaultQuotaBounds} by default. */
	readonly quotaBounds?: core.quota.QuotaBounds;
	/** Memory that the process may use, in bytes; bodies are not bounded together by default. */
	readonly memoryBytes?: number;
	/** File descriptors that the process may have open; connections of callers are not bounded by default. */
	readonly fileDescriptors?: number;
};
