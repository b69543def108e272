import * as buffer from 'node:buffer';

/** Who leads, and by which lease: tells the present holder from an earlier process on the same VM. */
export type Leader = {
	readonly vm: string;
	readonly leaseId: string;
};

/** Encodes a leader as the value of its key. */
export function encodeLeader(leader: Leader): Uint8Array {
	return buffer.Buffer.from(`${leader.leaseId} ${leader.vm}`);
}

/** Decodes the value of the leader's key. */
export function decodeLeader(value: Uint8Array): Leader {
	const [leaseId = '', vm = ''] = buffer.Buffer.from(value).toString().split(' ');
	return {vm, leaseId};
}
