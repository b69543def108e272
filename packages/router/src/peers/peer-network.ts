import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';

/** A message between routers. */
export type PeerMessage = {
	readonly type: wire.peer.PeerMessageType;
};

/** Handles messages of one type from one router. */
export type PeerHandler = (from: core.model.VmId, message: PeerMessage) => void;

/** Links to the other routers. */
export interface PeerNetwork { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns the VMs whose routers have a working link. */
	connectedVms(): readonly core.model.VmId[];
	/** Queues a message and returns at once. Returns false if there is no working link or its buffer is full; nothing is sent then. */
	send(to: core.model.VmId, message: PeerMessage): boolean;
	/** Sends to all routers with a working link. */
	broadcast(message: PeerMessage): void;
	/** Sets the handler of a message type; replaces an earlier one. */
	on(type: wire.peer.PeerMessageType, handler: PeerHandler): void;
}
