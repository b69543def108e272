/** Type of a message between routers, in the field `type` of each message. */
export enum PeerMessageType {
	/** First message on a connection: identifies the sender. */
	Hello = 'hello',
	Heartbeat = 'heartbeat',
	/** Membership protocol: probes and acknowledgements, which also carry member records. */
	Ping = 'ping',
	PingRequest = 'ping_request',
	Ack = 'ack',
	/** Distribution of the manifest: its head, and its sections on request. */
	ManifestHead = 'manifest_head',
	ManifestProbe = 'manifest_probe',
	ManifestProbeAnswer = 'manifest_probe_answer',
	SectionRequest = 'section_request',
	SectionAnswer = 'section_answer',
	/** State that a starting router copies from another. */
	SnapshotRequest = 'snapshot_request',
	SnapshotAnswer = 'snapshot_answer',
	/** Ledger: intents for the writer of a shard, and requests that are forwarded to the router that issued their idempotency key. */
	IntentRequest = 'intent_request',
	IntentAnswer = 'intent_answer',
	OutcomeNotice = 'outcome_notice',
	ForwardRequest = 'forward_request',
	ForwardAnswer = 'forward_answer',
	/** Usage counts of client accounts. */
	Usage = 'usage',
	/** Digests of cached prefixes and of endpoint loads. */
	CacheDigest = 'cache_digest',
	LoadDigest = 'load_digest',
	/** Endpoints that shut down or drain. */
	EndpointNotice = 'endpoint_notice',
	TimelineRequest = 'timeline_request',
	TimelineAnswer = 'timeline_answer',
}
