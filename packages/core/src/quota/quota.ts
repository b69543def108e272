/** What the units of a quota count. */
export enum QuotaUnit {
	Requests = 'requests',
	/** Prompt tokens, and output tokens at most. */
	Tokens = 'tokens',
}

/** Quota of a client account over all VMs together, from the operator's configuration. */
export type AccountQuota = {
	readonly unit: QuotaUnit;
	/** Units a second; positive. */
	readonly unitsPerSecond: number;
	/** Units that may be used at once after a time without requests. */
	readonly burst: number;
	/** Tokens that a request counts for which states none. */
	readonly defaultTokens: number;
};

/** How far the usage over all VMs may exceed a quota, from the settings: (rate x window + burst) x (1 + overshoot) + slack in any window. */
export type QuotaBounds = {
	readonly windowMs: number;
	readonly overshoot: number;
	/** Units. */
	readonly slack: number;
};

/** Bounds where the settings state none. */
export const defaultQuotaBounds: QuotaBounds = {windowMs: 10_000, overshoot: 0.1, slack: 0};

/** Part of the overshoot that the age of grants may use; the rest covers VMs that count different numbers of members. */
const grantAgeShare = 0.5;

/** Time that a keeper's reply takes at most as a rule, in milliseconds. */
const minGrantAgeMs = 100;

/** Returns the units that one attempt of a request uses. */
export function countUnits({unit, defaultTokens}: AccountQuota, statedTokens: number | undefined): number {
	return unit === QuotaUnit.Requests ? 1 : statedTokens ?? defaultTokens;
}

/** Returns the time within which a grant must be used, in milliseconds. */
export function computeMaxGrantAgeMs({windowMs, overshoot}: QuotaBounds): number {
	return Math.max(minGrantAgeMs, windowMs * overshoot * grantAgeShare);
}
