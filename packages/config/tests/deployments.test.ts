import * as fs from 'node:fs';
import * as chai from 'chai';
import * as config from '@bluebellmast/config';

const {expect} = chai;

const deployments = [
	{
		name: 'sterrenveld', engines: 13, plainEndpoints: 3, dataCentres: 3, accounts: 8, maxConcurrentLoads: 3,
	},
	{
		name: 'chaophraya', engines: 8, plainEndpoints: 4, dataCentres: 4, accounts: 8, maxConcurrentLoads: 2,
	},
];

describe('sample deployments', () => {
	for (const expected of deployments) {
		const folder = `deployments/${expected.name}`;

		it(`${expected.name} has a valid manifest with the expected numbers of endpoints, data centres and accounts`, () => {
			const file = `${folder}/manifest.yaml`;
			const {content} = config.manifest.parseManifest(file, fs.readFileSync(file, 'utf8')).unsafeCoerce();
			const servicesByType = new Map(content.services.map(service => [service.type as string, service]));
			const countOf = (type: string) => content.endpoints.filter(endpoint => endpoint.service === servicesByType.get(type)?.id).length;
			expect(countOf('engine')).to.equal(expected.engines);
			expect(countOf('plain')).to.equal(expected.plainEndpoints);
			expect(countOf('cache_store')).to.equal(1);
			expect(new Set(content.endpoints.map(endpoint => endpoint.dataCentre)).size).to.equal(expected.dataCentres);
			expect(content.accounts.length).to.equal(expected.accounts);
			expect(servicesByType.get('engine')?.maxConcurrentLoads).to.equal(expected.maxConcurrentLoads);
			expect(content.kinds.filter(kind => !kind.repeatable).length).to.equal(1);
		});

		it(`${expected.name} has valid settings`, () => {
			const file = `${folder}/settings.yaml`;
			expect(config.settings.parseSettings(file, fs.readFileSync(file, 'utf8')).isRight()).to.equal(true);
		});
	}
});
