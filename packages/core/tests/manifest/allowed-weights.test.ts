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
		name: 'preferred first', recalled: [], model: 'chat', allowed: ['chat@2', 'chat@1'],
	},
	{
		name: 'without recalled versions', recalled: ['model:chat@2'], model: 'chat', allowed: ['chat@1'],
	},
	{
		name: 'none when all are recalled', recalled: ['model:chat@1', 'model:chat@2'], model: 'chat', allowed: [],
	},
	{
		name: 'with an adapter', recalled: [], model: 'chat', adapter: 'site', allowed: ['chat@2+site@b', 'chat@2+site@a', 'chat@1+site@b', 'chat@1+site@a'],
	},
	{
		name: 'without recalled adapter and model versions', recalled: ['adapter:site@b', 'model:chat@2'], model: 'chat', adapter: 'site', allowed: ['chat@1+site@a'],
	},
	{
		name: 'none for an adapter of another model', recalled: [], model: 'other', adapter: 'site', allowed: [],
	},
	{
		name: 'none for an unknown model', recalled: [], model: 'nothing', allowed: [],
	},
	{
		name: 'a model is not an adapter of the same name', recalled: ['adapter:chat@2'], model: 'chat', allowed: ['chat@2', 'chat@1'],
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
