import * as fs from 'node:fs';
import * as chai from 'chai';
import * as config from '@bluebellmast/config';

const {expect} = chai;

const deployments = [
	{
		name: 'sterrenveld', engines: 13, runners: 3, dataCentres: 3, accounts: 8, loads: 3,
	},
	{
		name: 'chaophraya', engines: 8, runners: 4, dataCentres: 4, accounts: 8, loads: 2,
	},
];

describe('sample deployments', () => {
	for (const expected of deployments) {
		const folder = `deployments/${expected.name}`;

		it(`${expected.name} has a valid manifest of the size of the deployment`, () => {
			const file = `${folder}/manifest.yaml`;
			const {content} = config.manifest.parseManifest(file, fs.readFileSync(file, 'utf8')).unsafeCoerce();
			const pools = new Map(content.services.map(service => [service.type as string, service]));
			const countOf = (type: string) => content.endpoints.filter(endpoint => endpoint.service === pools.get(type)?.id).length;
			expect(countOf('engine')).to.equal(expected.engines);
			expect(countOf('plain')).to.equal(expected.runners);
			expect(countOf('cache_store')).to.equal(1);
			expect(new Set(content.endpoints.map(endpoint => endpoint.dataCentre)).size).to.equal(expected.dataCentres);
			expect(content.accounts.length).to.equal(expected.accounts);
			expect(pools.get('engine')?.maxConcurrentLoads).to.equal(expected.loads);
			expect(content.kinds.filter(kind => !kind.repeatable).length).to.equal(1);
		});

		it(`${expected.name} has valid settings`, () => {
			const file = `${folder}/settings.yaml`;
			expect(config.settings.parseSettings(file, fs.readFileSync(file, 'utf8')).isRight()).to.equal(true);
		});
	}
});
