import * as fs from 'node:fs';
import * as chai from 'chai';
import * as config from '@bluebellmast/config';

const {expect} = chai;

describe('docs/CONFIGURATION.md', () => {
	const blocks = [...fs.readFileSync('docs/CONFIGURATION.md', 'utf8').matchAll(/```yaml\n(.*?)```/gs)].map(match => match[1]);

	it('contains all settings and manifest fields with their defaults', () => {
		expect(blocks).to.deep.equal([config.settings.renderDefaultSettings(), config.manifest.renderManifestFields()]);
	});
});
