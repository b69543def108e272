import * as chai from 'chai';
import * as config from '@bluebellmast/config';

const {expect} = chai;

const hash = 'a'.repeat(64);
const minimalManifest = `kinds:
  - {id: question, repeatable: true}
models:
  - {id: lantaarn-7b, service: lantaarn, versions: ['2', '1']}
services:
  - {id: lantaarn, type: engine, models: [lantaarn-7b], defaultKind: question}
  - {id: geheugen, type: cache_store}
accounts:
  - {id: federation, keyHashes: [${hash}]}
endpoints:
  - {id: engine-1, service: lantaarn, host: 192.0.2.1, port: 9000, dataCentre: dc-1}
`;

/** Returns the formatted findings of a manifest file. */
function findingsOf(text: string): string[] {
	const findings = config.manifest.parseManifest('m.yaml', text).swap().orDefault([]);
	return findings.map(finding => config.document.formatFinding(finding));
}

describe('parseManifest', () => {
	it('sets the defaults', () => {
		const {content, madeFrom} = config.manifest.parseManifest('m.yaml', minimalManifest).unsafeCoerce();
		expect(madeFrom).to.equal(undefined);
		expect(content.models[0]).to.deep.equal({
			id: 'lantaarn-7b', service: 'lantaarn', versions: ['2', '1'], defaultKind: 'question', supportsForcedPrefix: false,
		});
		expect(content.endpoints[0]?.role).to.equal('mixed');
		expect(content.services[1]?.defaultKind).to.equal('');
	});

	const invalidAdditions: ReadonlyArray<{name: string; add: string; findings: readonly string[]}> = [
		{
			name: 'an adapter of an unknown model',
			add: 'adapters:\n  - {id: site, model: other, versions: [v1]}\n',
			findings: ['m.yaml:13:23: unknown model \'other\''],
		},
		{
			name: 'a duplicate version and an unknown key',
			add: 'adapters:\n  - {id: site, model: lantaarn-7b, versions: [v1, v1], old: 1}\n',
			findings: ['m.yaml:13:51: duplicate version \'v1\'', 'm.yaml:13:56: unknown key \'old\''],
		},
		{
			name: 'a version that is a number',
			add: 'adapters:\n  - {id: site, model: lantaarn-7b, versions: [1]}\n',
			findings: ['m.yaml:13:47: adapters[0].versions[0]: Invalid input: expected string, received number'],
		},
	];
	for (const {name, add, findings} of invalidAdditions) {
		it(`reports ${name}`, () => {
			expect(findingsOf(minimalManifest + add)).to.deep.equal(findings);
		});
	}

	const invalidChanges: ReadonlyArray<{name: string; from: string; to: string; findings: readonly string[]}> = [
		{
			name: 'an unknown service', from: 'service: lantaarn, versions', to: 'service: other, versions',
			findings: ['m.yaml:4:32: unknown service \'other\''],
		},
		{
			name: 'an unknown kind', from: 'defaultKind: question', to: 'defaultKind: asking', findings: ['m.yaml:6:70: unknown kind \'asking\''],
		},
		{
			name: 'a model that its service does not list', from: 'models: [lantaarn-7b], ', to: '', findings: ['m.yaml:4:32: service \'lantaarn\' does not list model \'lantaarn-7b\''],
		},
		{
			name: 'a service without a default kind', from: ', defaultKind: question', to: '', findings: ['m.yaml:6:10: service \'lantaarn\' requires a defaultKind'],
		},
		{
			name: 'a malformed key hash', from: hash, to: 'secret',
			findings: ['m.yaml:9:34: accounts[0].keyHashes[0]: expected a SHA-256 hash of 64 lower-case hex digits'],
		},
		{
			name: 'a kind without the required key repeatable', from: ', repeatable: true', to: '', findings: ['m.yaml:2:5: required key \'kinds[0].repeatable\' is missing'],
		},
		{
			name: 'two endpoints with the same address and id', from: 'endpoints:\n', to: 'endpoints:\n  - {id: engine-1, service: geheugen, host: 192.0.2.1, port: 9000, dataCentre: dc-1}\n',
			findings: ['m.yaml:12:10: duplicate id \'engine-1\'', 'm.yaml:12:62: duplicate address \'192.0.2.1 port 9000\''],
		},
		{
			name: 'a key hash of two accounts, and an unknown model or service in allowed', from: 'endpoints:', to: `  - {id: school, keyHashes: [${hash}], allowed: [nothing]}\nendpoints:`,
			findings: [`m.yaml:10:30: duplicate key hash '${hash}'`, 'm.yaml:10:107: unknown model or service \'nothing\''],
		},
		{
			name: 'models and rules of a service whose type has none', from: 'type: cache_store', to: 'type: cache_store, models: [lantaarn-7b], rules: [{pathPrefix: /, kind: question}]',
			findings: ['m.yaml:7:39: a service of type \'cache_store\' must not list models', 'm.yaml:7:62: a service of type \'cache_store\' must not have rules'],
		},
	];
	for (const {name, from, to, findings} of invalidChanges) {
		it(`reports ${name}`, () => {
			expect(findingsOf(minimalManifest.replace(from, to))).to.deep.equal(findings);
		});
	}
});
