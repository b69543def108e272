import * as core from '@bluebellmast/core';
import * as zod from 'zod';
import * as fields from '../document/fields.js';

const limitsSchema = zod.strictObject({
	requestsPerSecond: zod.number().positive().default(100).describe('Requests a second in steady use.'),
	burst: zod.number().min(0).default(200).describe('Requests that may come at once beyond the steady rate.'),
	tokensPerSecond: zod.number().positive().default(200_000).describe('Prompt and generated tokens a second in steady use.'),
});

const ruleSchema = zod.strictObject({
	method: zod.string().regex(/^([A-Z]+|\*)$/, 'expected an HTTP method in upper case, or \'*\'').default('*').describe('HTTP method in upper case, or `*`.'),
	pathPrefix: zod.string().startsWith('/').describe('Path prefix below the service.'),
	kind: fields.name().describe('Kind of the calls that match.'),
});

/** Schemas of one entry of each list of the manifest; they state every default. */
export const entrySchemas = {
	models: zod.strictObject({
		id: fields.name().describe('Name of the model.'),
		service: fields.name().describe('Pool that serves the model.'),
		versions: zod.array(fields.version()).min(1).describe('Allowed versions, preferred first.'),
		defaultKind: fields.name().optional().describe('Kind of a request that names none; without it the default kind of the service.'),
		supportsForcedPrefix: zod.boolean().default(false).describe('Whether engines can continue a given answer text.'),
	}),
	adapters: zod.strictObject({
		id: fields.name().describe('Name of the adapter.'),
		model: fields.name().describe('Model that the adapter belongs to.'),
		versions: zod.array(fields.version()).min(1).describe('Allowed versions, preferred first.'),
	}),
	accounts: zod.strictObject({
		id: fields.name().describe('Name of the client account.'),
		keyHashes: zod.array(fields.sha256Hex()).min(1).describe('SHA-256 of each bearer key, as lower-case hex.'),
		share: zod.number().positive().default(1).describe('Weight of the account when capacity is shared out.'),
		limits: limitsSchema.prefault({}).describe('Limits over all routers together.'),
		allowed: zod.array(fields.name()).default([]).describe('Models and services that the account may use; empty means all.'),
	}),
	kinds: zod.strictObject({
		id: fields.name().describe('Name of the kind.'),
		weight: zod.number().positive().default(1).describe('Weight in the service count and in shedding; larger is shed later.'),
		priority: zod.int().default(0).describe('Priority that the engine is given; larger goes first.'),
		deadlineMs: fields.durationMs().default(30_000).describe('Deadline when the caller names none.'),
		repeatable: zod.boolean().describe('Whether a request may be carried out more than once.'),
	}),
	services: zod.strictObject({
		id: fields.name().describe('Name of the service.'),
		type: zod.enum(core.model.ServiceType).describe('What stands behind the service.'),
		models: zod.array(fields.name()).default([]).describe('Models that the engines of the pool can load.'),
		rules: zod.array(ruleSchema).default([]).describe('For plain services: the first matching rule gives the kind of a call.'),
		defaultKind: fields.name().optional().describe('Kind of a call that no rule matches; required but for cache stores.'),
		maxConcurrentLoads: fields.count().default(1).describe('Weight loads that may run at once before the weight store slows.'),
	}),
	endpoints: zod.strictObject({
		id: fields.name().describe('Name of the endpoint.'),
		service: fields.name().describe('Service that the endpoint belongs to.'),
		host: fields.ipNumber().describe('IP number.'),
		port: fields.port().describe('Port.'),
		dataCentre: fields.name().describe('Data centre of the endpoint.'),
		checksFencing: zod.boolean().default(false).describe('For engines: whether orders with an old fencing number are refused.'),
		role: zod.enum(core.model.EngineRole).default(core.model.EngineRole.Mixed).describe('For engines: which part of the work it takes.'),
		capacity: fields.count().default(8).describe('Requests that the endpoint works on at once without queueing.'),
		leaving: zod.boolean().default(false).describe('Set when the endpoint is to get no new work.'),
	}),
};

/** Schema of a manifest file. */
export const manifestSchema = zod.strictObject({
	madeFrom: zod.int().min(0).optional().describe('Generation that the file was made from; an apply is refused when another is in force.'),
	models: zod.array(entrySchemas.models).default([]).describe('Models.'),
	adapters: zod.array(entrySchemas.adapters).default([]).describe('Adapters.'),
	accounts: zod.array(entrySchemas.accounts).default([]).describe('Client accounts.'),
	kinds: zod.array(entrySchemas.kinds).default([]).describe('Request kinds.'),
	services: zod.array(entrySchemas.services).default([]).describe('Services.'),
	endpoints: zod.array(entrySchemas.endpoints).default([]).describe('Endpoints.'),
});

/** A manifest file with defaults filled in. */
export type ManifestFile = zod.output<typeof manifestSchema>;
