import * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Membership protocol: a probe of a router, or the acknowledgement of a probe. */
export type PingMessage = {
	readonly type: peerMessageType.PeerMessageType.Ping | peerMessageType.PeerMessageType.Ack;
	readonly spread: core.members.GossipPayload;
};

/** Membership protocol: asks the receiver to probe a router that did not answer the sender (indirect probe). */
export type PingRequestMessage = {
	readonly type: peerMessageType.PeerMessageType.PingRequest;
	readonly target: core.model.VmId;
	readonly spread: core.members.GossipPayload;
};

const memberStatuses: ReadonlySet<unknown> = new Set(Object.values(core.members.MemberStatus));

function isMemberRecord(value: unknown): boolean {
	const record = value as Partial<Record<keyof core.members.MemberRecord, unknown>>;
	return typeof value === 'object' && value !== null
		&& typeof record.vm === 'string'
		&& typeof record.incarnation === 'string'
		&& Number.isSafeInteger(record.version)
		&& memberStatuses.has(record.status)
		&& typeof record.host === 'string'
		&& typeof record.port === 'number'
		&& typeof record.dataCentre === 'string'
		&& typeof record.leaving === 'boolean';
}

/** Returns whether a decoded value is a list of member records. */
export function isMemberRecordList(value: unknown): value is readonly core.members.MemberRecord[] {
	return Array.isArray(value) && value.every(record => isMemberRecord(record));
}

/** Returns whether a decoded message is a well-formed ping or acknowledgement. */
export function isPingMessage(message: {readonly type: peerMessageType.PeerMessageType}): message is PingMessage {
	const {spread} = message as {spread?: Partial<Record<keyof core.members.GossipPayload, unknown>>};
	return typeof spread === 'object' && spread !== null
		&& typeof spread.sequence === 'number'
		&& typeof spread.digest === 'number'
		&& isMemberRecordList(spread.records)
		&& (spread.buckets === undefined || Array.isArray(spread.buckets));
}

/** Returns whether a decoded message is a well-formed request for an indirect probe. */
export function isPingRequestMessage(message: {readonly type: peerMessageType.PeerMessageType}): message is PingRequestMessage {
	return isPingMessage(message) && typeof (message as {target?: unknown}).target === 'string';
}
