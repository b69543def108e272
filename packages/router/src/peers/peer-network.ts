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
	/** Routers with a working link. */
	connectedVms(): readonly core.model.VmId[];
	/** Sends without waiting; returns false when there is no working link (nothing was sent). */
	send(to: core.model.VmId, message: PeerMessage): boolean;
	/** Sends to all routers with a working link. */
	broadcast(message: PeerMessage): void;
	/** Sets the handler of a message type. */
	on(type: wire.peer.PeerMessageType, handler: PeerHandler): void;
}
