import type * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Announces the head of the sender's active manifest. */
export type ManifestHeadMessage = {
	readonly type: peerMessageType.PeerMessageType.ManifestHead;
	readonly head: core.manifest.ManifestHead;
};

/** Asks a router for the generation of its active manifest. */
export type ManifestProbe = {
	readonly type: peerMessageType.PeerMessageType.ManifestProbe;
	/** Sender's clock in milliseconds; repeated in the answer. */
	readonly sentAt: number;
	/** Generation of the sender's active manifest; 0 for none. */
	readonly generation: core.model.Generation;
};

/** Answers a probe. */
export type ManifestProbeAnswer = {
	readonly type: peerMessageType.PeerMessageType.ManifestProbeAnswer;
	readonly sentAt: number;
	/** Generation of the answering router's active manifest; 0 for none. */
	readonly generation: core.model.Generation;
	/** The most recent read of the head from the key-value service, by any router, that the answering router knows of. */
	readonly kv?: {
		readonly generation: core.model.Generation;
		/** Milliseconds since the read was started. */
		readonly ageMs: number;
	};
	/** The newest head that the answering router knows; only set when it is newer than the generation in the probe. */
	readonly head?: core.manifest.ManifestHead;
};

/** Asks for manifest sections by hash. */
export type SectionRequest = {
	readonly type: peerMessageType.PeerMessageType.SectionRequest;
	readonly hashes: readonly string[];
};

/** One manifest section; there is no answer for a section that the receiver of the request does not have. */
export type SectionAnswer = {
	readonly type: peerMessageType.PeerMessageType.SectionAnswer;
	readonly hash: string;
	readonly bytes: Uint8Array;
};

/** A message about the manifest. */
export type ManifestMessage = ManifestHeadMessage | ManifestProbe | ManifestProbeAnswer | SectionRequest | SectionAnswer;
