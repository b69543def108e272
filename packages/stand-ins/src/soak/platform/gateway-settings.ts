/* eslint-disable @typescript-eslint/naming-convention -- Field names of the platform. */
import type * as check from '../../check/index.js';
import * as platformConfig from './platform-config.js';

/** Addresses of a gateway process on its machine. */
export type GatewayAddresses = {
	readonly host: string;
	readonly callerPort: number;
	readonly readinessPort: number;
	readonly internalPort: number;
	readonly metricsPort: number;
};

const millisecondsPerSecond = 1000;

/** Bounds that the settings of all gateways state. */
export function createBounds(versionMs: number): check.platform.Bounds {
	return {
		settleWindowMs: 3000,
		configPropagationMs: 2000,
		outerBoundMs: 5000,
		revocationMs: 5000,
		versionMs,
		drainMs: 2000,
		graceMs: 8000,
		lossSlackMs: 200,
		recoveryMs: 12_000,
		leaseMs: 3000,
		thawMs: 300,
		retryRatio: 0.2,
		retrySlack: 54,
		retryWindowMs: 10_000,
		quota: {
			...platformConfig.accountQuota, windowMs: 8000, overshoot: 0.1, slack: 20,
		},
	};
}

/** What the settings file of a gateway states. */
export type GatewaySettings = {
	readonly name: string;
	readonly dataCentre: string;
	readonly addresses: GatewayAddresses;
	/** `IP:PORT` of the store. */
	readonly storeAddress: string;
	readonly bounds: check.platform.Bounds;
};

/** Formats the settings file of a gateway. */
export function formatSettings({name, dataCentre, addresses, storeAddress, bounds}: GatewaySettings): string {
	const {host, callerPort, readinessPort, internalPort} = addresses;
	const lines = {
		node_name: name,
		role: 'gateway',
		zone: dataCentre,
		region: 'region-a',
		ip_address: host,
		internal_ports: `${internalPort},${internalPort}`,
		'listen.frontend': `${host}:${callerPort}`,
		'listen.ready': `${host}:${readinessPort}`,
		'platform.address': storeAddress,
		'bounds.settle_window_ms': bounds.settleWindowMs,
		'bounds.config_propagation_ms': bounds.configPropagationMs,
		'bounds.outer_bound_ms': bounds.outerBoundMs,
		'bounds.strict_revocation': true,
		'bounds.revocation_ms': bounds.revocationMs,
		'bounds.budget_ratio': bounds.retryRatio,
		'bounds.budget_slack': bounds.retrySlack,
		'bounds.budget_window_s': bounds.retryWindowMs / millisecondsPerSecond,
		...(bounds.quota && {
			'bounds.quota_window_s': bounds.quota.windowMs / millisecondsPerSecond,
			'bounds.quota_overshoot': bounds.quota.overshoot,
			'bounds.quota_slack': bounds.quota.slack,
		}),
		'bounds.grace_s': bounds.graceMs / millisecondsPerSecond,
		'bounds.drain_ms': bounds.drainMs,
		'bounds.loss_slack_ms': bounds.lossSlackMs,
		'bounds.recovery_s': bounds.recoveryMs / millisecondsPerSecond,
		'bounds.require_fencing': true,
		'bounds.lease_ms': bounds.leaseMs,
		'bounds.thaw_ms': bounds.thawMs,
		'bounds.version_ms': bounds.versionMs,
	};
	return Object.entries(lines).map(([field, value]) => `${field}=${value}\n`).join('');
}
