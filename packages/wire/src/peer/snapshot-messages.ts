import type * as peerMessageType from './peer-message-type.js';

/** Asks a router for its state, at the start of the sender. */
export type SnapshotRequest = {
	readonly type: peerMessageType.PeerMessageType.SnapshotRequest;
};

/** One named part of a router's state, encoded by the part that keeps it. */
export type SnapshotPart = {
	readonly name: string;
	readonly body: unknown;
};

/** Answers a request for state. */
export type SnapshotAnswer = {
	readonly type: peerMessageType.PeerMessageType.SnapshotAnswer;
	readonly parts: readonly SnapshotPart[];
};

/** Returns whether a decoded message is a well-formed answer. */
export function isSnapshotAnswer(message: {readonly type: peerMessageType.PeerMessageType}): message is SnapshotAnswer {
	const {parts} = message as {parts?: unknown};
	return Array.isArray(parts) && parts.every((part: unknown) => (
		typeof part === 'object' && part !== null && typeof (part as {name?: unknown}).name === 'string'
	));
}
