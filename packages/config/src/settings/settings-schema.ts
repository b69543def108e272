import * as core from '@bluebellmast/core';
import * as zod from 'zod';
import * as fields from '../document/fields.js';

const secondMs = 1000;
const minuteMs = 60 * secondMs;
const hourMs = 60 * minuteMs;
const mebibyte = 1024 * 1024;

const listenSchema = zod.strictObject({
	host: fields.ipNumber().describe('IP number to listen on.'),
	port: fields.port({allowAny: true}).describe('Port to listen on; 0 lets the machine choose.'),
});

const addressSchema = zod.strictObject({
	host: fields.ipNumber().describe('IP number.'),
	port: fields.port().describe('Port.'),
});

const platformSchema = zod.strictObject({
	kv: zod.array(fields.httpUrl()).min(1).describe('URLs of the key-value service, by IP number, tried in order.'),
	vmList: fields.httpUrl().optional().describe('URL of the list of VMs, by IP number; without it the peers\' hints stand for the list.'),
	kvTimeoutMs: fields.durationMs().default(secondMs).describe('Time that one call to the key-value service may take.'),
});

const prefixSchema = zod.strictObject({
	pieceTokens: fields.count().default(2000).describe('Tokens in one piece of a prompt.'),
	charsPerToken: zod.number().positive().default(4).describe('Characters of text that count as one token.'),
	maxPieces: fields.count().default(256).describe('Pieces of a prompt that are told apart; the rest count as one.'),
});

const costs = core.placement.defaultCostWeights;
const costWeightsSchema = zod.strictObject({
	homeWaste: zod.number().min(0).default(costs.homeWaste).describe('Cost of a millisecond of prefill at a home of the prefix, beyond its time.'),
	strayWaste: zod.number().min(0).default(costs.strayWaste).describe('The same elsewhere, or when enough engines hold the prefix.'),
	minHomes: fields.count().default(costs.minHomes).describe('Homes that a prefix has at least.'),
	occupancyMs: zod.number().min(0).default(costs.occupancyMs).describe('Cost of an endpoint whose slots are all taken; in proportion below.'),
	doubt: zod.number().min(0).max(1).default(costs.doubt).describe('Part of doubtful pieces that counts as held.'),
	importMsPerToken: zod.number().min(0).default(costs.importMsPerToken).describe('Time to import a token of kept KV cache; 0 when there is no store.'),
	toleranceMs: zod.number().min(0).default(costs.toleranceMs).describe('Costs that differ by less count as equal.'),
});

const placementSchema = zod.strictObject({
	policy: zod.enum(core.placement.PlacementPolicyName)
		.default(core.placement.PlacementPolicyName.CostBased)
		.describe('How an engine is picked.'),
	weights: costWeightsSchema.prefault({}).describe('Weights of the cost-based policy.'),
});

const limitsSchema = zod.strictObject({
	maxBodyBytes: fields.count().default(8 * mebibyte).describe('Size of a request body; a larger one is refused.'),
	maxQueue: fields.count().default(256).describe('Requests that wait for an endpoint; beyond it requests are refused.'),
	headerTimeoutMs: fields.durationMs().default(10 * secondMs).describe('Time in which a caller sends its headers.'),
	bodyTimeoutMs: fields.durationMs().default(30 * secondMs).describe('Time in which a caller sends its body.'),
});

const retrySchema = zod.strictObject({
	budgetRatio: zod.number().min(0).max(1).default(0.1).describe('Retries as a share of first tries.'),
	maxAttempts: fields.count().default(3).describe('Tries of one request, the first included.'),
});

const timeoutsSchema = zod.strictObject({
	connectMs: fields.durationMs().default(secondMs).describe('Time to open a connection to an endpoint.'),
	firstByteMs: fields.durationMs().default(20 * secondMs).describe('Time to the first byte of an endpoint\'s answer.'),
	progressMs: fields.durationMs().default(5 * secondMs).describe('Time between two tokens of a stream before it counts as silent.'),
	heartbeatMs: fields.durationMs().default(500).describe('Time between two heartbeats of a link between routers.'),
});

const stopSchema = zod.strictObject({
	readinessLeadMs: zod.int().min(0).default(5 * secondMs).describe('Time between failing readiness and closing listeners at a planned stop.'),
});

const ledgerSchema = zod.strictObject({
	shards: fields.count().default(64).describe('Shards of the ledger; the same on all routers.'),
	commitIntervalMs: fields.durationMs().default(20).describe('Time over which intents are gathered into one write.'),
	retentionMs: fields.durationMs().default(24 * hourMs).describe('Time for which an idempotency key is remembered.'),
	waitMs: fields.durationMs().default(2 * secondMs).describe('Time that a request waits for the ledger before it is refused.'),
});

const manifestSchema = zod.strictObject({
	confirmTimeoutMs: fields.durationMs().default(3 * secondMs).describe('Time without a confirmed generation after which model requests are no longer placed.'),
	pollMs: fields.durationMs().default(500).describe('Time between two polls of peers, and of the key-value service by the routers that watch it.'),
});

const metricsSchema = zod.strictObject({
	host: fields.ipNumber().describe('IP number of the StatsD daemon.'),
	port: fields.port().default(8125).describe('UDP port of the StatsD daemon.'),
	prefix: zod.string().default('bluebellmast.').describe('Put before the name of each metric.'),
});

const timelineSchema = zod.strictObject({
	capacity: fields.count().default(20_000).describe('Events kept in memory.'),
});

/** Schema of a router's settings; it states every default. */
export const settingsSchema = zod.strictObject({
	vm: fields.name().describe('Name of this VM.'),
	dataCentre: fields.name().describe('Data centre of this VM.'),
	region: fields.name().describe('Region of the data centre.'),
	listen: listenSchema.describe('Address for callers, operators and the balancer.'),
	peer: listenSchema.describe('Address for links between routers.'),
	operatorKeyHash: fields.sha256Hex().optional().describe('SHA-256 of the operators\' bearer key, as lower-case hex; without it /admin/ is closed.'),
	platform: platformSchema.describe('The platform\'s services.'),
	peers: zod.array(addressSchema).default([]).describe('Peer addresses to try first.'),
	prefix: prefixSchema.prefault({}).describe('How prompts are split.'),
	placement: placementSchema.prefault({}).describe('How engines are picked.'),
	limits: limitsSchema.prefault({}).describe('What callers may send.'),
	retry: retrySchema.prefault({}).describe('Repeating of failed tries.'),
	timeouts: timeoutsSchema.prefault({}).describe('Time limits towards endpoints and peers.'),
	stop: stopSchema.prefault({}).describe('Planned stop.'),
	ledger: ledgerSchema.prefault({}).describe('Requests that may not be repeated.'),
	manifest: manifestSchema.prefault({}).describe('Spread of the manifest.'),
	metrics: metricsSchema.optional().describe('Metrics over StatsD; without it none are sent.'),
	timeline: timelineSchema.prefault({}).describe('Time line of events.'),
});

/** Settings of one router, with defaults filled in. */
export type Settings = zod.output<typeof settingsSchema>;
