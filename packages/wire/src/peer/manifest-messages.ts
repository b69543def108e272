import type * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Tells a router of the head in force on the sender. */
export type ManifestHeadMessage = {
	readonly type: peerMessageType.PeerMessageType.ManifestHead;
	readonly head: core.manifest.ManifestHead;
};

/** Asks a router which generation it has in force. */
export type ManifestProbe = {
	readonly type: peerMessageType.PeerMessageType.ManifestProbe;
	/** Time of the sender's clock, in milliseconds; echoed in the answer. */
	readonly sentAt: number;
	/** Generation in force on the sender, 0 for none. */
	readonly generation: core.model.Generation;
};

/** Answers a probe. */
export type ManifestProbeAnswer = {
	readonly type: peerMessageType.PeerMessageType.ManifestProbeAnswer;
	readonly sentAt: number;
	/** Generation in force on the answering router, 0 for none. */
	readonly generation: core.model.Generation;
	/** Latest read of the head from the key-value service that the router knows of. */
	readonly kv?: {
		readonly generation: core.model.Generation;
		/** Milliseconds since the read was sent. */
		readonly ageMs: number;
	};
	/** The newest head that the router knows, when it is newer than the one of the router that asked. */
	readonly head?: core.manifest.ManifestHead;
};

/** Asks for sections by hash. */
export type SectionRequest = {
	readonly type: peerMessageType.PeerMessageType.SectionRequest;
	readonly hashes: readonly string[];
};

/** Carries one section; sections that the sender does not hold are not answered. */
export type SectionAnswer = {
	readonly type: peerMessageType.PeerMessageType.SectionAnswer;
	readonly hash: string;
	readonly bytes: Uint8Array;
};

/** A message about the manifest. */
export type ManifestMessage = ManifestHeadMessage | ManifestProbe | ManifestProbeAnswer | SectionRequest | SectionAnswer;
