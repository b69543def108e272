import type * as core from '@bluebellmast/core';
import type * as ingress from './ingress/index.js';

/** What a gateway process learns from its settings. */
export type GatewaySettings = {
	/** Name of the VM. */
	readonly vm: string;
	readonly dataCentre: string;
	/** Where callers connect. */
	readonly listen: ingress.ListenAddress;
	/** Where the balancer asks for readiness. */
	readonly readiness: ingress.ListenAddress;
	/** Where other VMs send digests of their load. */
	readonly peers: ingress.ListenAddress;
	/** Path of the readiness question. */
	readonly readinessPath: string;
	readonly trust: core.routing.TrustTerms;
	readonly retries: core.fleet.RetryWindowTerms;
	/** Time from SIGTERM until the process is killed, in milliseconds. */
	readonly graceMs: number;
	/** Longest time for which older weights may be used after newer ones were named, in milliseconds. */
	readonly versionMs: number;
	/** Shortest time between orders of two leaders, in milliseconds. */
	readonly holderGapMs: number;
};
