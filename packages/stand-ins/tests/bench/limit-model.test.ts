import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const {computeLimit} = standIns.limitModel;
const day: standIns.limitModel.LimitDay = {
	name: 'test', seconds: 10, engines: 2, prefillTokensPerMs: 50, stepMs: 0, chunkTokens: 1000, versions: 0, loadMs: 1000, lostEngineSeconds: 0,
	namespaceShares: [1],
	kinds: [
		{
			name: 'long', perSecond: 10, credit: 10, ownTokens: 1000, sharedTokens: 9000, distinctPrefixes: 1,
		},
		{
			name: 'short', perSecond: 100, credit: 1, ownTokens: 100, sharedTokens: 0, distinctPrefixes: 1,
		},
	],
};

describe('computeLimit', () => {
	it('uses the whole time of all engines and computes a shared prefix once', () => {
		const limit = computeLimit(day);
		expect(limit.capacityTokens).to.equal(1_000_000);
		expect(limit.kinds.map(({name, neededTokens}) => [name, Math.round(neededTokens)])).to.deep.equal([['short', 100_000], ['long', 109_000]]);
		expect(limit.creditShare).to.equal(1);
	});

	it('subtracts weight loads, lost engine time and decode steps from the capacity', () => {
		expect(computeLimit({...day, versions: 2, lostEngineSeconds: 1}).capacityTokens).to.equal(750_000);
		expect(computeLimit({...day, stepMs: 20}).capacityTokens).to.equal(500_000);
	});

	it('computes shared prefixes again for each version and namespace', () => {
		const long = computeLimit({...day, versions: 1, namespaceShares: [0.5, 0.5]}).kinds.find(({name}) => name === 'long')!;
		expect(Math.round(long.neededTokens)).to.equal(100_000 + (4 * 9000));
	});

	it('serves requests with the most credit per prompt token first', () => {
		const limit = computeLimit({...day, prefillTokensPerMs: 7.5});
		expect(limit.kinds.map(({name, servedShare}) => [name, Number(servedShare.toFixed(2))])).to.deep.equal([['short', 1], ['long', 0.46]]);
		expect(limit.creditShare).to.be.closeTo((1000 + 459) / 2000, 0.01);
	});
});
