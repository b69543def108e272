import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;

describe('Random', () => {
	it('spreads the first numbers after small seeds evenly', () => {
		const firsts = Array.from({length: 200}, (_, seed) => new standIns.util.Random(seed + 1).fraction());
		const mean = firsts.reduce((sum, value) => sum + value, 0) / firsts.length;
		expect(mean).to.be.within(0.4, 0.6);
		expect(Math.min(...firsts)).to.be.below(0.1);
		expect(Math.max(...firsts)).to.be.above(0.9);
	});
});
