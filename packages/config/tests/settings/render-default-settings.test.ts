import * as chai from 'chai';
import * as config from '@bluebellmast/config';

const {expect} = chai;

const requiredSettings = `vm: vm-1
dataCentre: dc-1
region: r-1
listen: {host: 127.0.0.1, port: 0}
peer: {host: 127.0.0.1, port: 0}
`;
const kvSetting = '  kv: [http://127.0.0.1:2379]\n';

describe('renderDefaultSettings', () => {
	it('renders the same settings as those of a file that omits them', () => {
		const withDefaults = config.settings.parseSettings('a.yaml', `${requiredSettings}platform:\n${kvSetting}`).unsafeCoerce();
		const rendered = config.settings.renderDefaultSettings().replace('platform:\n', `platform:\n${kvSetting}`);
		expect(config.settings.parseSettings('b.yaml', requiredSettings + rendered).unsafeCoerce()).to.deep.equal(withDefaults);
	});

	it('contains every setting', () => {
		const rendered = config.settings.renderDefaultSettings();
		const listKeys = (fields: readonly config.document.SchemaField[]): string[] =>
			fields.flatMap(field => [field.key, ...(field.isList ? [] : listKeys(field.fields))]);
		const keys = listKeys(config.document.listSchemaFields(config.settings.settingsSchema));
		expect(keys.filter(key => !rendered.includes(`${key}:`))).to.deep.equal([]);
	});
});
