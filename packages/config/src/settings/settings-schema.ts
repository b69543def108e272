import * as core from '@bluebellmast/core';
import * as zod from 'zod';
import * as fields from '../document/fields.js';

const secondMs = 1000;
const minuteMs = 60 * secondMs;
const hourMs = 60 * minuteMs;
const mebibyte = 1024 * 1024;

const listenSchema = zod.strictObject({
	host: fields.ipNumber().describe('IP address to listen on.'),
	port: fields.port({allowAny: true}).describe('Port to listen on; 0 lets the operating system choose.'),
});

const addressSchema = zod.strictObject({
	host: fields.ipNumber().describe('IP address.'),
	port: fields.port().describe('Port.'),
});

const platformSchema = zod.strictObject({
	kv: zod.array(fields.httpUrl()).min(1).describe('URLs of the key-value service, with IP addresses, tried in order.'),
	vmList: fields.httpUrl().optional().describe('URL of the list of VMs, with an IP address; without it other routers are first contacted through `peers`.'),
	kvTimeoutMs: fields.durationMs().default(secondMs).describe('Timeout of a call to the key-value service.'),
});

const prefixSchema = zod.strictObject({
	pieceTokens: fields.count().default(2000).describe('Tokens in each piece of a prompt.'),
	charsPerToken: zod.number().positive().default(4).describe('Characters of text that count as one token.'),
	maxPieces: fields.count().default(256).describe('Maximum number of pieces of a prompt; the text after them counts as not cached.'),
});

const costs = core.placement.defaultCostWeights;
const costWeightsSchema = zod.strictObject({
	homeWaste: zod.number().min(0).default(costs.homeWaste).describe('Additional cost of a millisecond of prefill at a preferred (home) engine of the prefix.'),
	strayWaste: zod.number().min(0).default(costs.strayWaste).describe('The same at another engine, or when enough engines hold the prefix.'),
	minHomes: fields.count().default(costs.minHomes).describe('Minimum number of home engines of a prefix.'),
	occupancyMs: zod.number().min(0).default(costs.occupancyMs).describe('Cost of an endpoint with all slots in use; proportionally less with fewer.'),
	doubt: zod.number().min(0).max(1).default(costs.doubt).describe('Share of the pieces with uncertain cache state that counts as cached.'),
	importMsPerToken: zod.number().min(0).default(costs.importMsPerToken).describe('Time to import one token of KV cache from the cache store; 0 if there is none.'),
	toleranceMs: zod.number().min(0).default(costs.toleranceMs).describe('Costs that differ by less are considered equal.'),
});

const placementSchema = zod.strictObject({
	policy: zod.enum(core.placement.PlacementPolicyName)
		.default(core.placement.PlacementPolicyName.CostBased)
		.describe('Policy by which an engine is selected.'),
	weights: costWeightsSchema.prefault({}).describe('Cost weights of the cost-based policy.'),
});

const limitsSchema = zod.strictObject({
	maxBodyBytes: fields.count().default(8 * mebibyte).describe('Maximum size of a request body; a larger one is refused.'),
	maxQueue: fields.count().default(256).describe('Maximum number of requests that wait for an endpoint; further requests are refused.'),
	headerTimeoutMs: fields.durationMs().default(10 * secondMs).describe('Time in which a caller must send the request headers.'),
	bodyTimeoutMs: fields.durationMs().default(30 * secondMs).describe('Time in which a caller must send the request body.'),
});

const retrySchema = zod.strictObject({
	budgetRatio: zod.number().min(0).max(1).default(0.1).describe('Maximum ratio of retries to first attempts.'),
	maxAttempts: fields.count().default(3).describe('Maximum number of attempts of a request, including the first.'),
});

const timeoutsSchema = zod.strictObject({
	connectMs: fields.durationMs().default(secondMs).describe('Timeout of opening a connection to an endpoint.'),
	firstByteMs: fields.durationMs().default(20 * secondMs).describe('Timeout of the first byte of an endpoint\'s response.'),
	progressMs: fields.durationMs().default(5 * secondMs).describe('Maximum time between two tokens of a stream before it is considered stalled.'),
	heartbeatMs: fields.durationMs().default(500).describe('Interval of heartbeats on a connection between routers.'),
});

const stopSchema = zod.strictObject({
	readinessLeadMs: zod.int().min(0).default(5 * secondMs).describe('Time between reporting not ready and closing the listeners during a graceful shutdown.'),
});

const ledgerSchema = zod.strictObject({
	shards: fields.count().default(64).describe('Number of shards of the ledger; must be the same on all routers.'),
	commitIntervalMs: fields.durationMs().default(20).describe('Time over which intents are collected into one write.'),
	retentionMs: fields.durationMs().default(24 * hourMs).describe('Time for which an idempotency key is kept.'),
	waitMs: fields.durationMs().default(2 * secondMs).describe('Maximum time that a request waits for the ledger before it is refused.'),
});

const manifestSchema = zod.strictObject({
	confirmTimeoutMs: fields.durationMs().default(3 * secondMs).describe('Time without a confirmed manifest generation after which model requests are no longer dispatched.'),
	pollMs: fields.durationMs().default(500).describe('Interval of polling the peers, and the key-value service on the routers that watch it.'),
});

const metricsSchema = zod.strictObject({
	host: fields.ipNumber().describe('IP address of the StatsD daemon.'),
	port: fields.port().default(8125).describe('UDP port of the StatsD daemon.'),
	prefix: zod.string().default('bluebellmast.').describe('Prefix of the name of each metric.'),
});

const timelineSchema = zod.strictObject({
	capacity: fields.count().default(20_000).describe('Maximum number of events in memory.'),
});

/** Schema of a router's settings, with all defaults. */
export const settingsSchema = zod.strictObject({
	vm: fields.name().describe('Name of this VM.'),
	dataCentre: fields.name().describe('Data centre of this VM.'),
	region: fields.name().describe('Region of the data centre.'),
	listen: listenSchema.describe('Listen address for callers, operators and the load balancer.'),
	peer: listenSchema.describe('Listen address for connections between routers.'),
	operatorKeyHash: fields.sha256Hex().optional().describe('SHA-256 hash of the operators\' bearer key, in lower-case hex; without it /admin/ is not accessible.'),
	platform: platformSchema.describe('Services of the platform.'),
	peers: zod.array(addressSchema).default([]).describe('Addresses at which other routers are first contacted.'),
	prefix: prefixSchema.prefault({}).describe('Splitting of prompts into prefix pieces.'),
	placement: placementSchema.prefault({}).describe('Selection of engines for requests.'),
	limits: limitsSchema.prefault({}).describe('Limits of requests from callers.'),
	retry: retrySchema.prefault({}).describe('Retries of failed attempts.'),
	timeouts: timeoutsSchema.prefault({}).describe('Timeouts of calls to endpoints and connections to other routers.'),
	stop: stopSchema.prefault({}).describe('Graceful shutdown.'),
	ledger: ledgerSchema.prefault({}).describe('Ledger of requests that must not be executed more than once.'),
	manifest: manifestSchema.prefault({}).describe('Distribution of the manifest.'),
	metrics: metricsSchema.optional().describe('Metrics over StatsD; without it none are sent.'),
	timeline: timelineSchema.prefault({}).describe('Timeline of events.'),
});

/** Settings of one router, with defaults. */
export type Settings = zod.output<typeof settingsSchema>;
