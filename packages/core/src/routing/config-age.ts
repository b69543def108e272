/** Limits on the age of a configuration, which depend on what it is used for. */
export type ConfigAgeLimits = {
	/** Maximum time that the platform allows between acknowledging the revocation of a key and its effect, in milliseconds. */
	readonly revocationMs: number;
	/** Maximum time that the platform allows between acknowledging any change and its effect, in milliseconds. */
	readonly propagationMs: number;
	/** Whether the revocation limit also applies to VMs that are disconnected from the key-value store. */
	readonly strictRevocation: boolean;
};

/** Part of the revocation limit reserved for a watch that receives nothing for a second and for sending the request. */
const revocationMarginMs = 1500;
/** Part of the propagation limit reserved for the time between the check and the caller's receipt of the response. */
const propagationMarginMs = 200;
/** Part of it reserved for a call to the store. */
const callMarginMs = 200;

/**
 * Returns the time without a confirmation after which the next one must be asked for, in milliseconds, so that unknown routes and keys can always be
 * rejected; `Infinity` if the propagation limit is too short for that.
 */
export function computeMaxUnconfirmedMs({propagationMs}: ConfigAgeLimits): number {
	const maxUnconfirmedMs = propagationMs - propagationMarginMs - callMarginMs;
	return maxUnconfirmedMs > 0 ? maxUnconfirmedMs : Infinity;
}

/** Returns whether requests with an API key may be sent to endpoints with a configuration of this age. */
export function allowsKeyedRequests(ageMs: number, limits: ConfigAgeLimits): boolean {
	return !limits.strictRevocation || ageMs <= limits.revocationMs - revocationMarginMs;
}

/** Returns whether an unknown route or key may be rejected by its age for negative responses; an older configuration may merely lack a recent addition. */
export function allowsNegativeResponses(ageMs: number, limits: ConfigAgeLimits): boolean {
	return ageMs <= limits.propagationMs - propagationMarginMs;
}
