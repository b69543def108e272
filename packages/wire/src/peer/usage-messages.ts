import type * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Spreads what routers have admitted for client accounts. */
export type UsageNotice = {
	readonly type: peerMessageType.PeerMessageType.Usage;
	/** The sender's record first, then records of others that it passes on. */
	readonly records: readonly core.limits.UsageRecord[];
};
