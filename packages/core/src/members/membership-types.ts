import type * as ids from '../model/ids.js';
import type * as memberRecord from './member-record.js';
import type * as neighbours from './neighbours.js';

/** Payload of every membership message, its `spread` field: member records, and a digest that shows whether tables differ. */
export type GossipPayload = {
	/** Matches an ack to its ping. */
	readonly sequence: number;
	readonly digest: number;
	readonly records: readonly memberRecord.MemberRecord[];
	/** Digest of each bucket of the sender's table; sent while the tables of sender and receiver differ. */
	readonly buckets?: readonly number[];
};

/** Type of an event that `Membership` handles. */
export enum MembershipEventType {
	/** A protocol period has passed. */
	Tick = 'tick',
	Ping = 'ping',
	PingRequest = 'ping_request',
	Ack = 'ack',
	/** A link to a router is up. */
	LinkUp = 'link_up',
	/** Member records were received in a snapshot. */
	RecordsReceived = 'learned',
	/** This router has begun a graceful shutdown. */
	LeaveStarted = 'leave',
	/** This router is stopping now. */
	LeaveFinished = 'left',
}

/** Input of `Membership.step`. */
export type MembershipEvent =
	| {readonly type: MembershipEventType.Tick}
	| {readonly type: MembershipEventType.Ping; readonly from: ids.VmId; readonly spread: GossipPayload}
	| {
		readonly type: MembershipEventType.PingRequest;
		readonly from: ids.VmId;
		readonly target: ids.VmId;
		readonly spread: GossipPayload;
	}
	| {readonly type: MembershipEventType.Ack; readonly from: ids.VmId; readonly spread: GossipPayload}
	| {
		readonly type: MembershipEventType.LinkUp;
		readonly from: ids.VmId;
		readonly incarnation: ids.Incarnation;
		readonly host: string;
		readonly port: number;
		readonly dataCentre: ids.DataCentreId;
	}
	| {readonly type: MembershipEventType.RecordsReceived; readonly records: readonly memberRecord.MemberRecord[]}
	| {readonly type: MembershipEventType.LeaveStarted}
	| {readonly type: MembershipEventType.LeaveFinished};

/** Type of an effect that the caller of `Membership.step` carries out. */
export enum MembershipEffectType {
	SendPing = 'send_ping',
	SendPingRequest = 'send_ping_request',
	SendAck = 'send_ack',
	/** A record was stored whose status, version or incarnation changed. */
	Changed = 'changed',
}

/** Output of `Membership.step`. */
export type MembershipEffect =
	| {readonly type: MembershipEffectType.SendPing; readonly to: ids.VmId; readonly spread: GossipPayload}
	| {
		readonly type: MembershipEffectType.SendPingRequest;
		readonly to: ids.VmId;
		readonly target: ids.VmId;
		readonly spread: GossipPayload;
	}
	| {readonly type: MembershipEffectType.SendAck; readonly to: ids.VmId; readonly spread: GossipPayload}
	| {readonly type: MembershipEffectType.Changed; readonly record: memberRecord.MemberRecord};

/** Identity of this router, and the timeouts and limits of the membership protocol. */
export type MembershipOptions = {
	readonly vm: ids.VmId;
	readonly incarnation: ids.Incarnation;
	readonly host: string;
	readonly port: number;
	readonly dataCentre: ids.DataCentreId;
	readonly seed: number;
	/** Start of this router, in milliseconds since the Unix epoch. */
	readonly startedAt: number;
	/** Milliseconds between ticks. Default 500. */
	readonly periodMs?: number;
	/** Milliseconds until a suspect is declared dead in a fleet of up to 10; multiplied by log10 of the size above. Default 2000. */
	readonly suspicionTimeoutMs?: number;
	/** Milliseconds for which records of members that are dead or have left are kept. Default 10 minutes. */
	readonly retentionMs?: number;
	/** Milliseconds after which an incarnation that no record has shown counts as ended. Default 10000. */
	readonly unseenTimeoutMs?: number;
	/** Routers asked to ping a member that did not respond. Default 3. */
	readonly indirectProbeCount?: number;
	/** Pending updates in one message. Default 8. */
	readonly maxUpdatesPerMessage?: number;
	/** Additional records in one message while the tables differ. Default 12. */
	readonly maxSyncRecordsPerMessage?: number;
	/** Records sent in one period, in all messages together. Default 48. */
	readonly maxRecordsPerPeriod?: number;
	/** Additional neighbours pinged in one period while updates are pending. Default 2. */
	readonly gossipPingsPerPeriod?: number;
	/** Acks per period that are followed at once by another ping because the tables differ. Default 1. */
	readonly maxFollowUpPingsPerPeriod?: number;
	/** Default: full mesh up to 12 other members, 4 rings in larger fleets. */
	readonly neighbourLimits?: neighbours.NeighbourLimits;
};

/** The options of `MembershipOptions` that have defaults. */
export type MembershipDefaults = Required<Omit<
	MembershipOptions,
	'vm' | 'incarnation' | 'host' | 'port' | 'dataCentre' | 'seed' | 'startedAt'
>>;

export const membershipDefaults: MembershipDefaults = {
	periodMs: 500,
	suspicionTimeoutMs: 2000,
	retentionMs: 10 * 60 * 1000,
	unseenTimeoutMs: 10_000,
	indirectProbeCount: 3,
	maxUpdatesPerMessage: 8,
	maxSyncRecordsPerMessage: 12,
	maxRecordsPerPeriod: 48,
	gossipPingsPerPeriod: 2,
	maxFollowUpPingsPerPeriod: 1,
	neighbourLimits: {fullMeshLimit: 12, ringCount: 4},
};
