import * as chai from 'chai';
import * as config from '@bluebellmast/config';

const {expect} = chai;
const {manifest} = config;

/** Returns content with one model of the given versions and as many endpoints as asked. */
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

describe('changes', () => {
	it('keeps recalled batches through an apply, and writes only changed sections', () => {
		const next = manifest.proposeApply(recalled.head, createContent(['v3', 'v2']), {changeId: 'next', madeFrom: 2}).unsafeCoerce();
		expect(next.head.recalled).to.deep.equal(['model:chat@v2']);
		expect(next.head.generation).to.equal(3);
		expect(next.newSections.map(section => section.name)).to.deep.equal(['models/0']);
	});

	it('makes a new generation even where the batch is recalled already', () => {
		expect(manifest.proposeRecall(recalled.head, ['model:chat@v2'], 'again').unsafeCoerce().head.generation).to.equal(3);
	});

	it('reinstates only what is named', () => {
		const both = manifest.proposeRecall(recalled.head, ['adapter:site@v1'], 'both').unsafeCoerce().head;
		const next = manifest.proposeReinstate(both, ['model:chat@v2'], {changeId: 'back', madeFrom: 3}).unsafeCoerce();
		expect(next.head.recalled).to.deep.equal(['adapter:site@v1']);
	});

	const refused: ReadonlyArray<{name: string; code: string; propose(): ReturnType<typeof manifest.proposeRecall>}> = [
		{
			name: 'an apply made from before a recall', code: 'stale',
			propose: () => manifest.proposeApply(recalled.head, createContent(['v3']), {changeId: 'x', madeFrom: 1}),
		},
		{
			name: 'a first apply over a manifest', code: 'stale',
			propose: () => manifest.proposeApply(first.head, createContent(['v3']), {changeId: 'x', madeFrom: 0}),
		},
		{name: 'a recall before the first manifest', code: 'no_manifest', propose: () => manifest.proposeRecall(undefined, ['model:chat@v2'], 'x')},
		{
			name: 'a stale reinstatement', code: 'stale',
			propose: () => manifest.proposeReinstate(recalled.head, ['model:chat@v2'], {changeId: 'x', madeFrom: 1}),
		},
		{
			name: 'a reinstatement of what is not recalled', code: 'not_recalled',
			propose: () => manifest.proposeReinstate(recalled.head, ['model:chat@v9'], {changeId: 'x', madeFrom: 2}),
		},
		{
			name: 'a recalled set that is too large', code: 'too_large',
			propose: () => manifest.proposeRecall(first.head, Array.from({length: 50_000}, (_, index) => `model:chat@version-${index}`), 'x'),
		},
	];
	for (const {name, propose, code} of refused) {
		it(`refuses ${name}`, () => {
			expect((propose().extract() as config.manifest.ChangeRefusal).code).to.equal(code);
		});
	}

	const outcomes: ReadonlyArray<{name: string; id: string; base: number; type: string}> = [
		{
			name: 'accepted before another change', id: 'first', base: 0, type: 'accepted',
		},
		{
			name: 'superseded', id: 'other', base: 1, type: 'superseded',
		},
		{
			name: 'pending', id: 'other', base: 2, type: 'pending',
		},
	];
	for (const {name, id, base, type} of outcomes) {
		it(`resolves a change that is ${name}`, () => {
			expect(manifest.resolveChangeOutcome(recalled.head, id, base).type).to.equal(type);
		});
	}

	it('says so when the head no longer remembers', () => {
		let {head} = recalled;
		for (let index = 0; index < manifest.maxRecentChanges; index += 1) {
			head = manifest.proposeRecall(head, ['model:chat@v2'], `r-${index}`).unsafeCoerce().head;
		}

		expect(manifest.resolveChangeOutcome(head, 'first', 0).type).to.equal('forgotten');
	});
});

describe('sections', () => {
	it('split a large list below the limit, and give the manifest back', () => {
		const content = createContent(['v1'], 5000);
		const {head, newSections} = manifest.proposeApply(undefined, content, {changeId: 'x', madeFrom: 0}).unsafeCoerce();
		expect(newSections.every(section => section.bytes.length <= manifest.maxSectionBytes)).to.equal(true);
		expect(newSections.filter(section => section.name.startsWith('endpoints/')).length).to.be.greaterThan(1);
		const held = new Map(newSections.map(section => [section.hash, section.bytes]));
		expect(manifest.assembleManifest(head, held)).to.deep.equal({...content, generation: 1, recalled: []});
	});

	it('are refused when a byte differs', () => {
		const held = new Map(first.newSections.map(section => [section.hash, section.bytes.map(byte => 255 - byte)]));
		expect(manifest.assembleManifest(first.head, held)).to.equal(undefined);
	});

	it('give the head back from its bytes', () => {
		expect(manifest.decodeHead(manifest.encodeHead(recalled.head)).extract()).to.deep.equal(recalled.head);
	});
});

describe('describeDifferences', () => {
	it('names what is added, removed and changed', () => {
		const lines = manifest.describeDifferences(createContent(['v1'], 2), {...createContent(['v2'], 1), kinds: []});
		expect(lines).to.deep.equal(['~ models chat', '- kinds question', '- endpoints e-1']);
	});
});
