import * as core from '@bluebellmast/core';
import * as zod from 'zod';
import * as fields from '../document/fields.js';

const limitsSchema = zod.strictObject({
	requestsPerSecond: zod.number().positive().default(100).describe('Sustained rate of requests per second.'),
	burst: zod.number().min(0).default(200).describe('Requests that are allowed in a burst above the sustained rate.'),
	tokensPerSecond: zod.number().positive().default(200_000).describe('Sustained rate of prompt and generated tokens per second.'),
});

const ruleSchema = zod.strictObject({
	method: zod.string().regex(/^([A-Z]+|\*)$/, 'expected an HTTP method in upper case, or \'*\'').default('*').describe('HTTP method in upper case, or `*`.'),
	pathPrefix: zod.string().startsWith('/').describe('Path prefix, relative to the service.'),
	kind: fields.name().describe('Request kind of the calls that match.'),
});

/** Schemas of the entries of each list of the manifest, with all defaults. */
export const entrySchemas = {
	models: zod.strictObject({
		id: fields.name().describe('Name of the model.'),
		service: fields.name().describe('Engine service that serves the model.'),
		versions: zod.array(fields.version()).min(1).describe('Allowed versions, preferred first.'),
		defaultKind: fields.name().optional().describe('Kind of a request that states none; by default the default kind of the service.'),
		supportsForcedPrefix: zod.boolean().default(false).describe('Whether engines can continue generation after a given text.'),
	}),
	adapters: zod.strictObject({
		id: fields.name().describe('Name of the adapter.'),
		model: fields.name().describe('Model that the adapter belongs to.'),
		versions: zod.array(fields.version()).min(1).describe('Allowed versions, preferred first.'),
	}),
	accounts: zod.strictObject({
		id: fields.name().describe('Name of the client account.'),
		keyHashes: zod.array(fields.sha256Hex()).min(1).describe('SHA-256 hash of each bearer key, in lower-case hex.'),
		share: zod.number().positive().default(1).describe('Weight of the account in fair sharing of capacity.'),
		limits: limitsSchema.prefault({}).describe('Limits of the account, over all routers together.'),
		allowed: zod.array(fields.name()).default([]).describe('Models and services that the account may use; empty means all.'),
	}),
	kinds: zod.strictObject({
		id: fields.name().describe('Name of the kind.'),
		weight: zod.number().positive().default(1).describe('Weight in fair sharing and load shedding; requests with a larger weight are shed later.'),
		priority: zod.int().default(0).describe('Priority that is passed to the engine; larger is served first.'),
		deadlineMs: fields.durationMs().default(30_000).describe('Deadline of a request that states none.'),
		repeatable: zod.boolean().describe('Whether a request may be executed more than once.'),
	}),
	services: zod.strictObject({
		id: fields.name().describe('Name of the service.'),
		type: zod.enum(core.model.ServiceType).describe('Type of the endpoints of the service.'),
		models: zod.array(fields.name()).default([]).describe('For engines: models that they can load.'),
		rules: zod.array(ruleSchema).default([]).describe('For plain services: rules for the kind of a call; the first match is used.'),
		defaultKind: fields.name().optional().describe('Kind of a call that no rule matches; required except for cache stores.'),
		maxConcurrentLoads: fields.count().default(1).describe('Maximum number of concurrent weight loads; more slow down the weight store.'),
	}),
	endpoints: zod.strictObject({
		id: fields.name().describe('Name of the endpoint.'),
		service: fields.name().describe('Service that the endpoint belongs to.'),
		host: fields.ipNumber().describe('IP address.'),
		port: fields.port().describe('Port.'),
		dataCentre: fields.name().describe('Data centre of the endpoint.'),
		checksFencing: zod.boolean().default(false).describe('For engines: whether they refuse orders with an old fencing token.'),
		role: zod.enum(core.model.EngineRole).default(core.model.EngineRole.Mixed).describe('For engines: role in serving requests.'),
		capacity: fields.count().default(8).describe('Requests that the endpoint executes concurrently without queueing.'),
		leaving: zod.boolean().default(false).describe('Whether the endpoint is to receive no new requests.'),
	}),
};

/** Schema of a manifest file. */
export const manifestSchema = zod.strictObject({
	madeFrom: zod.int().min(0).optional().describe('Generation that the file is based on; applying it is refused when another generation is active.'),
	models: zod.array(entrySchemas.models).default([]).describe('Models.'),
	adapters: zod.array(entrySchemas.adapters).default([]).describe('Adapters.'),
	accounts: zod.array(entrySchemas.accounts).default([]).describe('Client accounts.'),
	kinds: zod.array(entrySchemas.kinds).default([]).describe('Request kinds.'),
	services: zod.array(entrySchemas.services).default([]).describe('Services.'),
	endpoints: zod.array(entrySchemas.endpoints).default([]).describe('Endpoints.'),
});

/** A valid manifest file, with defaults. */
export type ManifestFile = zod.output<typeof manifestSchema>;
