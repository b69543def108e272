import * as buffer from 'node:buffer';

/** The leader and its lease; the lease distinguishes the current process from an earlier one on the same VM. */
export type Leader = {
	readonly vm: string;
	readonly leaseId: string;
};

/** Encodes a leader as the value that is stored under the leader key. */
export function encodeLeader(leader: Leader): Uint8Array {
	return buffer.Buffer.from(`${leader.leaseId} ${leader.vm}`);
}

/** Decodes a value that {@link encodeLeader} returned. */
export function decodeLeader(value: Uint8Array): Leader {
	const [leaseId = '', vm = ''] = buffer.Buffer.from(value).toString().split(' ');
	return {vm, leaseId};
}
