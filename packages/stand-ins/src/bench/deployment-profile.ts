import * as core from '@bluebellmast/core';

/** Shape of a deployment's prompts and engines, with times scaled down so that a run is short. */
export type DeploymentProfile = {
	readonly name: string;
	readonly service: string;
	readonly engines: number;
	/** Logical routers of a run. */
	readonly routers: number;
	readonly slots: number;
	readonly prefillTokensPerSecond: number;
	readonly prefillChunkTokens: number;
	readonly stepMs: number;
	readonly stepPerRequestMs: number;
	readonly cacheLimitTokens: number;
	readonly accounts: number;
	/** Prefixes of the first level over all accounts. */
	readonly firstLevelPrefixes: number;
	readonly firstLevelPieces: number;
	/** Prefixes of the second level below each of the first. */
	readonly secondLevelPrefixes: number;
	readonly secondLevelPieces: number;
	/** Exponents of the popularity (rank to the minus exponent). */
	readonly firstLevelSkew: number;
	readonly secondLevelSkew: number;
	readonly maxTokens: number;
	/** The oracle's cost of a millisecond of prefill, beyond the time it takes. */
	readonly oracleWaste: number;
	/** Weights of costs that the deployment runs with. */
	readonly cost: Partial<core.placement.CostWeights>;
};

/** Tokens of one piece. */
export const pieceTokens = 2000;
/** Tokens of the question, which no other request shares. */
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

/** The deployments of the brief. */
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

/** Weights that all requests of a run ask for. */
export const weights: core.model.Weights = {model: 'model', modelVersion: '1'};
/** Their text form. */
export const weightsKey = core.model.formatWeights(weights);
