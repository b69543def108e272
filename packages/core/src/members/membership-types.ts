import type * as ids from '../model/ids.js';
import type * as memberRecord from './member-record.js';
import type * as neighbours from './neighbours.js';

/** What every membership message carries: records to spread, and a digest that shows whether tables differ. */
export type GossipPayload = {
	/** Matches an ack with its ping. */
	readonly sequence: number;
	readonly digest: number;
	readonly records: readonly memberRecord.MemberRecord[];
	/** Digests of the parts of the table, while the tables of sender and receiver differ. */
	readonly buckets?: readonly number[];
};

/** What can happen to the membership. */
export enum MembershipEventType {
	/** A period has passed. */
	Tick = 'tick',
	Ping = 'ping',
	PingRequest = 'ping_request',
	Ack = 'ack',
	/** A link to a router is up. */
	LinkUp = 'link_up',
	/** Records came in a snapshot. */
	RecordsReceived = 'learned',
	/** This router begins to stop. */
	LeaveStarted = 'leave',
	/** This router stops now. */
	LeaveFinished = 'left',
}

/** An event of the membership. */
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

/** What the membership asks to be done. */
export enum MembershipEffectType {
	SendPing = 'send_ping',
	SendPingRequest = 'send_ping_request',
	SendAck = 'send_ack',
	/** A record changed its status, version or incarnation. */
	Changed = 'changed',
}

/** An effect of the membership. */
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

/** Limits and times of the membership. */
export type MembershipOptions = {
	readonly vm: ids.VmId;
	readonly incarnation: ids.Incarnation;
	readonly host: string;
	readonly port: number;
	readonly dataCentre: ids.DataCentreId;
	readonly seed: number;
	/** When this router started, in milliseconds since the Unix epoch. */
	readonly startedAt: number;
	/** Milliseconds between ticks. Default 500. */
	readonly periodMs?: number;
	/** Milliseconds of suspicion before death in a fleet of up to ten; grows with the logarithm. Default 2000. */
	readonly suspicionTimeoutMs?: number;
	/** Milliseconds for which records of dead members are kept. Default 10 minutes. */
	readonly retentionMs?: number;
	/** Milliseconds after which an incarnation that never showed up counts as gone. Default 10000. */
	readonly unseenTimeoutMs?: number;
	/** Routers asked to probe a member that does not answer. Default 3. */
	readonly indirectProbeCount?: number;
	/** Fresh records in one message. Default 8. */
	readonly maxUpdatesPerMessage?: number;
	/** Further records in one message while tables differ. Default 12. */
	readonly maxSyncRecordsPerMessage?: number;
	/** Records sent in one period, over all messages. Default 48. */
	readonly maxRecordsPerPeriod?: number;
	/** Further neighbours told in one period while there is news. Default 2. */
	readonly gossipPingsPerPeriod?: number;
	/** Exchanges in one period that go on at once because tables differ. Default 1. */
	readonly maxFollowUpPingsPerPeriod?: number;
	/** Default: full mesh up to 12 others, then 4 rings. */
	readonly neighbourLimits?: neighbours.NeighbourLimits;
};

/** The options that have defaults. */
export type MembershipDefaults = Required<Omit<
	MembershipOptions,
	'vm' | 'incarnation' | 'host' | 'port' | 'dataCentre' | 'seed' | 'startedAt'
>>;

/** Defaults of the options. */
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
