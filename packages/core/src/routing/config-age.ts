/** Times that decide for what a configuration may still be used. */
export type ConfigAgeLimits = {
	/** Longest time from acknowledgement to effect that the platform allows for a revoked key, in milliseconds. */
	readonly revocationMs: number;
	/** Longest time from acknowledgement to effect for any change, in milliseconds. */
	readonly propagationMs: number;
	/** Whether the bound of revocation holds on VMs that are cut off from the store, too. */
	readonly strictRevocation: boolean;
};

/** Part of the revocation bound that is kept for a watch that hears nothing for a second and for sending the request. */
const revocationMarginMs = 1500;
/** Part of the propagation bound that is kept for the time between a check and the caller's receipt of the answer. */
const propagationMarginMs = 200;

/** Returns whether requests with an API key may be sent to endpoints by a configuration of this age. */
export function allowsKeyedRequests(ageMs: number, terms: ConfigAgeLimits): boolean {
	return !terms.strictRevocation || ageMs <= terms.revocationMs - revocationMarginMs;
}

/** Returns whether an unknown route or key may be answered as unknown: an older configuration may just lack it. */
export function allowsNegativeAnswers(ageMs: number, terms: ConfigAgeLimits): boolean {
	return ageMs <= terms.propagationMs - propagationMarginMs;
}
