import type * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Distributes how much usage each router has admitted for client accounts. */
export type UsageNotice = {
	readonly type: peerMessageType.PeerMessageType.Usage;
	/** The sender's own record first, then records of other routers that it forwards. */
	readonly records: readonly core.limits.UsageRecord[];
};
