import type * as changeTimes from '../store/change-times.js';

/** How a VM knows when a version was named. */
export enum NamingSource {
	/** A read of the store that nothing delayed. */
	Read = 'read',
	/** A read after failed calls or a suspension, which shows an interval. */
	LateRead = 'late_read',
	/** An assumption, as the version was named before the first read. */
	Assumed = 'assumed',
	/** The roll-out plan, in which the leader states the time, or the end of a version's key. */
	Plan = 'plan',
	/** Other VMs that know the age of the version. */
	Peer = 'peer',
}

/** Age of a version, as VMs exchange it. Ages need no common clock. */
export type VersionAge = {
	readonly model: string;
	readonly version: number;
	/** Milliseconds since the version was named. */
	readonly ageMs: number;
};

/** What a VM knows about when a version was named. Times are in milliseconds of a clock that includes suspensions of the VM. */
export type NamingEvidence = {
	/** When the version was named, as a read of the store by this VM shows. */
	readonly interval: changeTimes.ChangeInterval;
	/** Earliest time that the roll-out plan and ended keys in the store show. */
	readonly planAt?: number;
	/** Earliest time by the ages that other VMs sent; a delayed message makes it too late, until the next one. */
	readonly peerAt?: number;
};

/** When a version was named, in milliseconds of a clock that includes suspensions of the VM. */
export type NamingTime = {
	readonly at: number;
	readonly source: NamingSource;
};

/**
 * Length of an interval up to which this VM's own time is used, whatever other VMs report, in milliseconds. It lies within the
 * time by which requests are taken back before the limit.
 */
const exactIntervalMs = 500;

/**
 * Estimates when a version was named. The time that a plan states rests on the wall clocks of two VMs, which may be wrong, so it is used only if no other
 * time is known, and it can make the version older than this VM assumes, but never younger.
 */
export function estimateNamingTime(evidence: NamingEvidence): NamingTime {
	const {interval, planAt = Infinity} = evidence;
	const known = findKnownTime(evidence);
	if (known !== undefined) {
		return known;
	}

	return planAt >= interval.assumed
		? {at: interval.assumed, source: sourceOfRead(interval)}
		: {at: Math.max(interval.after, planAt), source: NamingSource.Plan};
}

/** Returns when a version was named if that is known without wall clocks: by a read that nothing delayed, or from other VMs. */
export function findKnownTime({interval, peerAt}: NamingEvidence): NamingTime | undefined {
	const {after, assumed, before, isPrompt = false} = interval;
	const own: NamingTime = {at: assumed, source: sourceOfRead(interval)};
	if (before - after <= exactIntervalMs) {
		return own;
	}

	if (peerAt === undefined) {
		return isPrompt ? own : undefined;
	}

	const at = Math.min(before, Math.max(after, peerAt));
	// The response to a prompt poll can have waited for a blocked event loop, which makes `assumed` too late.
	return isPrompt && assumed - at <= exactIntervalMs ? own : {at, source: NamingSource.Peer};
}

function sourceOfRead({after, isPrompt}: changeTimes.ChangeInterval): NamingSource {
	if (after === -Infinity) {
		return NamingSource.Assumed;
	}

	return isPrompt ? NamingSource.Read : NamingSource.LateRead;
}
