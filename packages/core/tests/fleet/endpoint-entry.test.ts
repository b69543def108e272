import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const entry = support.createEntry('a');
/** One other value for each field: a field that is added has to be compared too. */
const changes: {[Field in keyof core.fleet.EndpointEntry]-?: core.fleet.EndpointEntry[Field]} = {
	id: 'b',
	bornAt: 2,
	pool: 'app',
	address: '10.0.0.2:80',
	dataCentre: 'dc-b',
	slots: 1,
	state: core.fleet.EndpointState.Draining,
	weights: new Map([['m', 2]]),
};

describe('isSameEntry', () => {
	it('holds for entries that state the same', () => {
		expect(core.fleet.isSameEntry(entry, support.createEntry('a'))).to.equal(true);
	});

	for (const [field, value] of Object.entries(changes)) {
		it(`does not hold if ${field} differs`, () => {
			expect(core.fleet.isSameEntry(entry, {...entry, [field]: value})).to.equal(false);
		});
	}

	for (const weights of [new Map<string, number>(), new Map([['n', 1]]), new Map([['m', 1], ['n', 1]])]) {
		it(`does not hold with the weights ${JSON.stringify([...weights])}`, () => {
			expect(core.fleet.isSameEntry(entry, {...entry, weights})).to.equal(false);
		});
	}
});

describe('EndpointRegistry, when equal entries are added', () => {
	it('lists an entry that returns unchanged within its time as before', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(entry, 0);
		registry.remove('a', {beginsAt: 50, returnedAt: 90, endsAt: 2090}, 100);
		registry.put(support.createEntry('a'), 200);
		expect(registry.takeDropped(10_000)).to.deep.equal([]);
		expect(registry.listReady('llm', 10_000).map(({id}) => id)).to.deep.equal(['a']);
	});

	it('drops expired observations', () => {
		const registry = new core.fleet.EndpointRegistry();
		registry.put(entry, 0);
		registry.recordObservedWeights('a', 1, {model: 'm', version: 5}, 0);
		registry.put(support.createEntry('a'), 2000);
		expect(registry.weightVersion('a', 'm')).to.equal(5);
		registry.put(support.createEntry('a'), 4000);
		expect(registry.weightVersion('a', 'm')).to.equal(1);
	});
});
