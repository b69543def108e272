import * as chai from 'chai';
import * as config from '@bluebellmast/config';

const {expect} = chai;

const required = `vm: vm-1
dataCentre: dc-1
region: r-1
listen: {host: 127.0.0.1, port: 0}
peer: {host: 127.0.0.1, port: 0}
`;
const kv = '  kv: [http://127.0.0.1:2379]\n';

describe('renderDefaultSettings', () => {
	it('gives the same settings as a file that leaves them out', () => {
		const leftOut = config.settings.parseSettings('a.yaml', `${required}platform:\n${kv}`).unsafeCoerce();
		const rendered = config.settings.renderDefaultSettings().replace('platform:\n', `platform:\n${kv}`);
		expect(config.settings.parseSettings('b.yaml', required + rendered).unsafeCoerce()).to.deep.equal(leftOut);
	});

	it('names every setting', () => {
		const rendered = config.settings.renderDefaultSettings();
		const listed = (fields: readonly config.document.SchemaField[]): string[] =>
			fields.flatMap(field => [field.key, ...(field.isList ? [] : listed(field.fields))]);
		const keys = listed(config.document.listSchemaFields(config.settings.settingsSchema));
		expect(keys.filter(key => !rendered.includes(`${key}:`))).to.deep.equal([]);
	});
});
