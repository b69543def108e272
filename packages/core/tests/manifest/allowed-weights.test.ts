import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

function createManifest(recalled: readonly string[]): core.model.Manifest {
	return {
		generation: 1,
		models: [
			{
				id: 'chat', service: 'pool', versions: ['2', '1'], defaultKind: 'question', supportsForcedPrefix: false,
			},
			{
				id: 'other', service: 'pool', versions: ['1'], defaultKind: 'question', supportsForcedPrefix: false,
			},
		],
		adapters: [{id: 'site', model: 'chat', versions: ['b', 'a']}],
		accounts: [],
		kinds: [],
		services: [],
		endpoints: [],
		recalled,
	};
}

const cases: ReadonlyArray<{name: string; recalled: readonly string[]; model: string; adapter?: string; allowed: readonly string[]}> = [
	{
		name: 'returns the preferred version first', recalled: [], model: 'chat', allowed: ['chat@2', 'chat@1'],
	},
	{
		name: 'omits recalled model versions', recalled: ['model:chat@2'], model: 'chat', allowed: ['chat@1'],
	},
	{
		name: 'returns none when all versions are recalled', recalled: ['model:chat@1', 'model:chat@2'], model: 'chat', allowed: [],
	},
	{
		name: 'combines model and adapter versions', recalled: [], model: 'chat', adapter: 'site', allowed: ['chat@2+site@b', 'chat@2+site@a', 'chat@1+site@b', 'chat@1+site@a'],
	},
	{
		name: 'omits recalled adapter and model versions', recalled: ['adapter:site@b', 'model:chat@2'], model: 'chat', adapter: 'site', allowed: ['chat@1+site@a'],
	},
	{
		name: 'returns none for an adapter of another model', recalled: [], model: 'other', adapter: 'site', allowed: [],
	},
	{
		name: 'returns none for an unknown model', recalled: [], model: 'nothing', allowed: [],
	},
	{
		name: 'keeps a model when an adapter of the same name is recalled', recalled: ['adapter:chat@2'], model: 'chat', allowed: ['chat@2', 'chat@1'],
	},
];

describe('allowedWeights', () => {
	for (const {name, recalled, model, adapter, allowed} of cases) {
		it(name, () => {
			const weights = core.manifest.allowedWeights(createManifest(recalled), model, adapter);
			expect(weights.map(item => core.model.formatWeights(item))).to.deep.equal(allowed);
		});
	}
});
