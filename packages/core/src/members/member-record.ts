import type * as ids from '../model/ids.js';

/** Status of a member, as the other members see it. */
export enum MemberStatus {
	Alive = 'alive',
	/** Probes went unanswered; the member can still refute the suspicion. */
	Suspect = 'suspect',
	/** The suspicion was not refuted in time. */
	Dead = 'dead',
	/** The member announced that it stopped. */
	Left = 'left',
}

/** State of one router, as the routers exchange it. */
export type MemberRecord = {
	readonly vm: ids.VmId;
	readonly incarnation: ids.Incarnation;
	/** Increased only by the member itself; a record with a larger version supersedes older records of the VM. */
	readonly version: number;
	readonly status: MemberStatus;
	/** IP address and port at which the router accepts links from other routers. */
	readonly host: string;
	readonly port: number;
	readonly dataCentre: ids.DataCentreId;
	/** Whether the router has begun a graceful shutdown. */
	readonly leaving: boolean;
};

const statusRanks: Readonly<Record<MemberStatus, number>> = {
	[MemberStatus.Alive]: 0,
	[MemberStatus.Suspect]: 1,
	[MemberStatus.Dead]: 2,
	[MemberStatus.Left]: 3,
};

/**
 * Returns whether a record supersedes another of the same VM. The order is total, so all routers converge on the same
 * record, whatever the order in which records arrive.
 */
export function supersedes(next: MemberRecord, current: MemberRecord): boolean {
	if (next.version !== current.version) {
		return next.version > current.version;
	}

	if (next.status !== current.status) {
		return statusRanks[next.status] > statusRanks[current.status];
	}

	if (next.incarnation !== current.incarnation) {
		return next.incarnation > current.incarnation;
	}

	return next.leaving && !current.leaving;
}

/** Returns whether the member counts as present: alive, or suspected but not declared dead. */
export function isPresent(record: MemberRecord): boolean {
	return record.status === MemberStatus.Alive || record.status === MemberStatus.Suspect;
}
