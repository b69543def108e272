import * as chai from 'chai';
import * as config from '@bluebellmast/config';

const {expect} = chai;
const {manifest} = config;

/** Returns manifest content with one model of the given versions and the given number of endpoints. */
function createContent(versions: readonly string[], endpoints = 0): config.manifest.ManifestContent {
	const text = [
		'kinds: [{id: question, repeatable: true}]',
		`models: [{id: chat, service: pool, versions: [${versions.join(', ')}]}]`,
		'services: [{id: pool, type: engine, models: [chat], defaultKind: question}]',
		'endpoints:',
		...Array.from({length: endpoints}, (_, index) =>
			`  - {id: e-${index}, service: pool, host: 192.0.2.1, port: ${index + 1}, dataCentre: dc-1}`),
	].join('\n').replace(/endpoints:$/, 'endpoints: []');
	return manifest.parseManifest('m.yaml', text).unsafeCoerce().content;
}

const first = manifest.proposeApply(undefined, createContent(['v2', 'v1']), {changeId: 'first', madeFrom: 0}).unsafeCoerce();
const recalled = manifest.proposeRecall(first.head, ['model:chat@v2'], 'recall').unsafeCoerce();

describe('manifest changes', () => {
	it('keeps model and adapter versions recalled when new content is applied, and writes only changed sections', () => {
		const next = manifest.proposeApply(recalled.head, createContent(['v3', 'v2']), {changeId: 'next', madeFrom: 2}).unsafeCoerce();
		expect(next.head.recalled).to.deep.equal(['model:chat@v2']);
		expect(next.head.generation).to.equal(3);
		expect(next.newSections.map(section => section.name)).to.deep.equal(['models/0']);
	});

	it('creates a new generation even if the model version is recalled already', () => {
		expect(manifest.proposeRecall(recalled.head, ['model:chat@v2'], 'again').unsafeCoerce().head.generation).to.equal(3);
	});

	it('reinstates only the given versions', () => {
		const both = manifest.proposeRecall(recalled.head, ['adapter:site@v1'], 'both').unsafeCoerce().head;
		const next = manifest.proposeReinstate(both, ['model:chat@v2'], {changeId: 'back', madeFrom: 3}).unsafeCoerce();
		expect(next.head.recalled).to.deep.equal(['adapter:site@v1']);
	});

	const refused: ReadonlyArray<{name: string; code: string; propose(): ReturnType<typeof manifest.proposeRecall>}> = [
		{
			name: 'an apply that is based on a generation before a recall', code: 'stale',
			propose: () => manifest.proposeApply(recalled.head, createContent(['v3']), {changeId: 'x', madeFrom: 1}),
		},
		{
			name: 'an apply that is based on no manifest when there is one', code: 'stale',
			propose: () => manifest.proposeApply(first.head, createContent(['v3']), {changeId: 'x', madeFrom: 0}),
		},
		{name: 'a recall when no manifest has been applied', code: 'no_manifest', propose: () => manifest.proposeRecall(undefined, ['model:chat@v2'], 'x')},
		{
			name: 'a reinstatement that is based on an earlier generation', code: 'stale',
			propose: () => manifest.proposeReinstate(recalled.head, ['model:chat@v2'], {changeId: 'x', madeFrom: 1}),
		},
		{
			name: 'a reinstatement of a version that is not recalled', code: 'not_recalled',
			propose: () => manifest.proposeReinstate(recalled.head, ['model:chat@v9'], {changeId: 'x', madeFrom: 2}),
		},
		{
			name: 'a recall whose head exceeds the size limit', code: 'too_large',
			propose: () => manifest.proposeRecall(first.head, Array.from({length: 50_000}, (_, index) => `model:chat@version-${index}`), 'x'),
		},
	];
	for (const {name, propose, code} of refused) {
		it(`refuses ${name}`, () => {
			expect((propose().extract() as config.manifest.ChangeRefusal).code).to.equal(code);
		});
	}

	const outcomes: ReadonlyArray<{name: string; id: string; madeFrom: number; type: string}> = [
		{
			name: 'accepted when another was accepted after it', id: 'first', madeFrom: 0, type: 'accepted',
		},
		{
			name: 'superseded', id: 'other', madeFrom: 1, type: 'superseded',
		},
		{
			name: 'pending', id: 'other', madeFrom: 2, type: 'pending',
		},
	];
	for (const {name, id, madeFrom, type} of outcomes) {
		it(`determines that a change is ${name}`, () => {
			expect(manifest.resolveChangeOutcome(recalled.head, id, madeFrom).type).to.equal(type);
		});
	}

	it('reports a change as forgotten when the head no longer lists the generation after the one it is based on', () => {
		let {head} = recalled;
		for (let index = 0; index < manifest.maxRecentChanges; index += 1) {
			head = manifest.proposeRecall(head, ['model:chat@v2'], `r-${index}`).unsafeCoerce().head;
		}

		expect(manifest.resolveChangeOutcome(head, 'first', 0).type).to.equal('forgotten');
	});
});

describe('encodeSections', () => {
	it('splits a list that exceeds the size limit; assembleManifest restores the manifest', () => {
		const content = createContent(['v1'], 5000);
		const {head, newSections} = manifest.proposeApply(undefined, content, {changeId: 'x', madeFrom: 0}).unsafeCoerce();
		expect(newSections.every(section => section.bytes.length <= manifest.maxSectionBytes)).to.equal(true);
		expect(newSections.filter(section => section.name.startsWith('endpoints/')).length).to.be.greaterThan(1);
		const sectionBytes = new Map(newSections.map(section => [section.hash, section.bytes]));
		expect(manifest.assembleManifest(head, sectionBytes)).to.deep.equal({...content, generation: 1, recalled: []});
	});

	it('makes assembleManifest return undefined for sections that do not match their hash', () => {
		const sectionBytes = new Map(first.newSections.map(section => [section.hash, section.bytes.map(byte => 255 - byte)]));
		expect(manifest.assembleManifest(first.head, sectionBytes)).to.equal(undefined);
	});

	it('restores a head when decodeHead decodes what encodeHead encoded', () => {
		expect(manifest.decodeHead(manifest.encodeHead(recalled.head)).extract()).to.deep.equal(recalled.head);
	});
});

describe('describeDifferences', () => {
	it('lists added, removed and changed entries', () => {
		const lines = manifest.describeDifferences(createContent(['v1'], 2), {...createContent(['v2'], 1), kinds: []});
		expect(lines).to.deep.equal(['~ models chat', '- kinds question', '- endpoints e-1']);
	});
});
