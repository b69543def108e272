import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('createPartKey', () => {
	it('tells parts and models apart, and is of bounded length', () => {
		const longId = 'f'.repeat(5000);
		const keys = [['m', 'a'], ['m', 'b'], ['n', 'a'], ['m', longId], ['n', longId]].map(([model, id]) => core.quarantine.createPartKey(model!, id!));
		expect(new Set(keys).size).to.equal(keys.length);
		expect(keys[0]).to.equal('m/a');
		for (const key of keys) {
			expect(key.length).to.be.at.most(48);
		}
	});

	it('is the same for a part that an operator names by model and id, and by its key', () => {
		const longId = 'f'.repeat(5000);
		const key = core.quarantine.createPartKey('m', longId);
		expect([core.quarantine.toPartKey(`m/${longId}`), core.quarantine.toPartKey(key)]).to.deep.equal([key, key]);
	});
});
