import type * as limitModel from './limit-model.js';

/** Kinds of requests of a deployment at a reference total rate; each day scales their rates. */
type RequestMix = {
	readonly perSecond: number;
	readonly kinds: readonly limitModel.LimitKind[];
};

/** Rounded from the users' data sheets. Plain services have spare capacity on all days and are left out. */
const sterrenveldMix: RequestMix = {
	perSecond: 268,
	kinds: [
		{
			name: 'handbook', perSecond: 31, credit: 10, ownTokens: 3700, sharedTokens: 13_300, distinctPrefixes: 261,
		},
		{
			name: 'hint', perSecond: 168, credit: 1.5, ownTokens: 290, sharedTokens: 90, distinctPrefixes: 951,
		},
	],
};

const chaophrayaMix: RequestMix = {
	perSecond: 292,
	kinds: [
		{
			name: 'plan', perSecond: 20, credit: 17, ownTokens: 3700, sharedTokens: 13_300, distinctPrefixes: 76,
		},
		{
			name: 'query', perSecond: 196, credit: 1.5, ownTokens: 290, sharedTokens: 90, distinctPrefixes: 738,
		},
	],
};

const sterrenveld = {
	seconds: 34, engines: 13, prefillTokensPerMs: 54.6, stepMs: 7, chunkTokens: 2048, loadMs: 1100, namespaceShares: [0.8, 0.1, 0.1],
};

const chaophraya = {
	seconds: 34, engines: 8, prefillTokensPerMs: 63.9, stepMs: 4.2, chunkTokens: 2048, loadMs: 290, namespaceShares: [0.7, 0.15, 0.15],
};

function scaleKinds({perSecond, kinds}: RequestMix, dayPerSecond: number): limitModel.LimitKind[] {
	return kinds.map(kind => ({...kind, perSecond: kind.perSecond * dayPerSecond / perSecond}));
}

/** The standard days of both deployments; `stepMs` is the time of a step with about twelve running requests. */
export const limitDays: readonly limitModel.LimitDay[] = [
	{
		...sterrenveld, name: 'sterrenveld quiet-1', versions: 4, lostEngineSeconds: 6, kinds: scaleKinds(sterrenveldMix, 153),
	},
	{
		...sterrenveld, name: 'sterrenveld trouble-1', versions: 4, lostEngineSeconds: 0, kinds: scaleKinds(sterrenveldMix, 266),
	},
	{
		...sterrenveld, name: 'sterrenveld trouble-2', versions: 4, lostEngineSeconds: 0, kinds: scaleKinds(sterrenveldMix, 231),
	},
	{
		...sterrenveld, name: 'sterrenveld scale-1', versions: 1, lostEngineSeconds: 48, kinds: scaleKinds(sterrenveldMix, 295),
	},
	{
		...sterrenveld, name: 'sterrenveld scale-2', versions: 3, lostEngineSeconds: 24, kinds: scaleKinds(sterrenveldMix, 322),
	},
	{
		...chaophraya, name: 'chaophraya quiet-1', versions: 6, lostEngineSeconds: 3, kinds: scaleKinds(chaophrayaMix, 190),
	},
	{
		...chaophraya, name: 'chaophraya trouble-1', versions: 4, lostEngineSeconds: 0, kinds: scaleKinds(chaophrayaMix, 286),
	},
	{
		...chaophraya, name: 'chaophraya trouble-2', versions: 6, lostEngineSeconds: 0, kinds: scaleKinds(chaophrayaMix, 248),
	},
	{
		...chaophraya, name: 'chaophraya scale-1', versions: 1, lostEngineSeconds: 20, kinds: scaleKinds(chaophrayaMix, 321),
	},
	{
		...chaophraya, name: 'chaophraya scale-2', versions: 3, lostEngineSeconds: 12, kinds: scaleKinds(chaophrayaMix, 321),
	},
];
