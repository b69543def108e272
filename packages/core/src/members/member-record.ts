import type * as ids from '../model/ids.js';

/** What is thought of a member. */
export enum MemberStatus {
	Alive = 'alive',
	/** Probes went unanswered; the member may still refute it. */
	Suspect = 'suspect',
	/** The suspicion was not refuted in time. */
	Dead = 'dead',
	/** The member said that it stops. */
	Left = 'left',
}

/** What the routers tell each other of one router. */
export type MemberRecord = {
	readonly vm: ids.VmId;
	readonly incarnation: ids.Incarnation;
	/** Raised only by the member itself, to take the place of older records of its VM. */
	readonly version: number;
	readonly status: MemberStatus;
	/** IP number and port at which it accepts links. */
	readonly host: string;
	readonly port: number;
	readonly dataCentre: ids.DataCentreId;
	/** Whether it is about to stop. */
	readonly leaving: boolean;
};

const statusRanks: Readonly<Record<MemberStatus, number>> = {
	[MemberStatus.Alive]: 0,
	[MemberStatus.Suspect]: 1,
	[MemberStatus.Dead]: 2,
	[MemberStatus.Left]: 3,
};

/**
 * Returns whether a record takes the place of another of the same VM. The order is total, so that all routers end with
 * the same record whatever the order of arrival.
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

/** Returns whether the member takes part: alive, or suspected but not judged. */
export function isPresent(record: MemberRecord): boolean {
	return record.status === MemberStatus.Alive || record.status === MemberStatus.Suspect;
}
