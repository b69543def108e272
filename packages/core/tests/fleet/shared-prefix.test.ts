import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const parts = [{id: 'a', tokens: 700}, {id: 'b', tokens: 500}, {id: 'c', tokens: 4000}, {id: 'own', tokens: 900}];

describe('shared prefixes of a prompt', () => {
	const cases = [
		{name: 'a prompt without shared parts', sharedParts: 0, expected: []},
		{name: 'a shared prefix that is too short', sharedParts: 1, expected: []},
		{name: 'short parts that are long enough together', sharedParts: 2, expected: [{key: 'n/b', tokens: 1200}]},
		{name: 'nested prefixes', sharedParts: 3, expected: [{key: 'n/b', tokens: 1200}, {key: 'n/c', tokens: 5200}]},
	];
	for (const {name, sharedParts, expected} of cases) {
		it(`are listed for ${name}`, () => {
			expect(core.fleet.listSharedPrefixes('n', parts, sharedParts)).to.deep.equal(expected);
		});
	}

	it('count as cached up to the last part that is known to be cached', () => {
		const prefixes = core.fleet.listSharedPrefixes('n', parts, 3);
		expect(core.fleet.countCachedTokens(prefixes, () => false)).to.equal(0);
		expect(core.fleet.countCachedTokens(prefixes, key => key === 'n/b')).to.equal(1200);
		expect(core.fleet.countCachedTokens(prefixes, key => key === 'n/c')).to.equal(5200);
	});
});
