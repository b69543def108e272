/** Type of a message between routers. Each message is an object with this in its field `type`. */
export enum PeerMessageType {
	/** First frame of a link: who speaks. */
	Hello = 'hello',
	Heartbeat = 'heartbeat',
	/** Membership: probes, their answers and spread of member records. */
	Ping = 'ping',
	PingRequest = 'ping_request',
	Ack = 'ack',
	/** Head of the manifest, and sections on request. */
	ManifestHead = 'manifest_head',
	ManifestProbe = 'manifest_probe',
	ManifestProbeAnswer = 'manifest_probe_answer',
	SectionRequest = 'section_request',
	SectionAnswer = 'section_answer',
	/** State for a starting router. */
	SnapshotRequest = 'snapshot_request',
	SnapshotAnswer = 'snapshot_answer',
	/** Ledger: intents handed to the writer of a shard, and requests with router-issued keys handed to the issuer. */
	IntentRequest = 'intent_request',
	IntentAnswer = 'intent_answer',
	OutcomeNotice = 'outcome_notice',
	ForwardRequest = 'forward_request',
	ForwardAnswer = 'forward_answer',
	/** Spread usage counts of accounts. */
	Usage = 'usage',
	/** Digests of hot prefixes and endpoint loads. */
	CacheDigest = 'cache_digest',
	LoadDigest = 'load_digest',
	/** Leaving endpoints. */
	EndpointNotice = 'endpoint_notice',
	TimelineRequest = 'timeline_request',
	TimelineAnswer = 'timeline_answer',
}
