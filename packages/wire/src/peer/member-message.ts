import * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Membership: probes a router, or answers a probe. */
export type PingMessage = {
	readonly type: peerMessageType.PeerMessageType.Ping | peerMessageType.PeerMessageType.Ack;
	readonly spread: core.members.GossipPayload;
};

/** Membership: asks the receiver to probe a router that did not answer. */
export type PingRequestMessage = {
	readonly type: peerMessageType.PeerMessageType.PingRequest;
	readonly target: core.model.VmId;
	readonly spread: core.members.GossipPayload;
};

const statuses: ReadonlySet<unknown> = new Set(Object.values(core.members.MemberStatus));

function isRecord(value: unknown): boolean {
	const record = value as Partial<Record<keyof core.members.MemberRecord, unknown>>;
	return typeof value === 'object' && value !== null
		&& typeof record.vm === 'string'
		&& typeof record.incarnation === 'string'
		&& Number.isSafeInteger(record.version)
		&& statuses.has(record.status)
		&& typeof record.host === 'string'
		&& typeof record.port === 'number'
		&& typeof record.dataCentre === 'string'
		&& typeof record.leaving === 'boolean';
}

/** Returns whether a decoded value is a list of member records. */
export function isMemberRecords(value: unknown): value is readonly core.members.MemberRecord[] {
	return Array.isArray(value) && value.every(record => isRecord(record));
}

/** Returns whether a decoded message carries a well-formed spread. */
export function isPing(message: {readonly type: peerMessageType.PeerMessageType}): message is PingMessage {
	const {spread} = message as {spread?: Partial<Record<keyof core.members.GossipPayload, unknown>>};
	return typeof spread === 'object' && spread !== null
		&& typeof spread.sequence === 'number'
		&& typeof spread.digest === 'number'
		&& isMemberRecords(spread.records)
		&& (spread.buckets === undefined || Array.isArray(spread.buckets));
}

/** Returns whether a decoded message is a well-formed request for a probe. */
export function isPingRequest(message: {readonly type: peerMessageType.PeerMessageType}): message is PingRequestMessage {
	return isPing(message) && typeof (message as {target?: unknown}).target === 'string';
}
