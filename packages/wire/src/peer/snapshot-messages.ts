import type * as peerMessageType from './peer-message-type.js';

/** Asks a router for its state; sent by a router that is starting. */
export type SnapshotRequest = {
	readonly type: peerMessageType.PeerMessageType.SnapshotRequest;
};

/** One named part of a router's state; the component that owns the part defines the format of `body`. */
export type SnapshotPart = {
	readonly name: string;
	readonly body: unknown;
};

/** Answers a snapshot request. */
export type SnapshotAnswer = {
	readonly type: peerMessageType.PeerMessageType.SnapshotAnswer;
	readonly parts: readonly SnapshotPart[];
};

/** Returns whether a decoded message is a well-formed snapshot answer. */
export function isSnapshotAnswer(message: {readonly type: peerMessageType.PeerMessageType}): message is SnapshotAnswer {
	const {parts} = message as {parts?: unknown};
	return Array.isArray(parts) && parts.every((part: unknown) => (
		typeof part === 'object' && part !== null && typeof (part as {name?: unknown}).name === 'string'
	));
}
