import * as core from '@bluebellmast/core';

/** Engines and prompts of a simulated deployment, with times scaled down so that a run is short. */
export type DeploymentProfile = {
	readonly name: string;
	readonly service: string;
	readonly engines: number;
	/** Number of logical routers in a run. */
	readonly routers: number;
	/** Number of requests that an engine runs at the same time. */
	readonly slots: number;
	readonly prefillTokensPerSecond: number;
	readonly prefillChunkTokens: number;
	readonly stepMs: number;
	readonly stepPerRequestMs: number;
	readonly cacheLimitTokens: number;
	readonly accounts: number;
	/** Number of first-level prefixes over all accounts. */
	readonly firstLevelPrefixes: number;
	/** Length of a first-level prefix in pieces of {@link pieceTokens} tokens. */
	readonly firstLevelPieces: number;
	/** Number of second-level prefixes below each first-level prefix. */
	readonly secondLevelPrefixes: number;
	/** Length of the part that a second-level prefix adds, in pieces. */
	readonly secondLevelPieces: number;
	/** Exponents of the Zipf distributions of prefixes. */
	readonly firstLevelSkew: number;
	readonly secondLevelSkew: number;
	readonly maxTokens: number;
	/** Milliseconds that the oracle, the reference policy, adds per millisecond of prefill when enough engines hold the prefix. */
	readonly oracleWaste: number;
	/** Overrides of the cost factors of the cost-based policy. */
	readonly cost: Partial<core.placement.CostWeights>;
};

/** Tokens of one prompt piece. */
export const pieceTokens = 2000;
/** Tokens of the question, the part of a prompt that no other request shares. */
export const questionTokens = 200;

const common = {
	routers: 6,
	slots: 4,
	prefillTokensPerSecond: 80_000,
	prefillChunkTokens: 4000,
	stepMs: 40,
	stepPerRequestMs: 2,
	accounts: 8,
	firstLevelSkew: 0.9,
	secondLevelSkew: 0.7,
	oracleWaste: 16,
};

/** Profiles of the two deployments in use. */
export const deploymentProfiles: readonly DeploymentProfile[] = [
	{
		...common,
		name: 'sterrenveld',
		service: 'lantaarn',
		engines: 13,
		cacheLimitTokens: 240_000,
		firstLevelPrefixes: 40,
		firstLevelPieces: 12,
		secondLevelPrefixes: 5,
		secondLevelPieces: 3,
		maxTokens: 8,
		cost: {},
	},
	{
		...common,
		name: 'chaophraya',
		service: 'feed-llm',
		engines: 8,
		cacheLimitTokens: 240_000,
		firstLevelPrefixes: 24,
		firstLevelPieces: 20,
		secondLevelPrefixes: 6,
		secondLevelPieces: 2,
		maxTokens: 8,
		cost: {},
	},
];

/** Model weights that all requests of a run name. */
export const weights: core.model.Weights = {model: 'model', modelVersion: '1'};
/** Text form of these model weights. */
export const weightsKey = core.model.formatWeights(weights);
