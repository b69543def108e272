import * as chai from 'chai';
import * as fc from 'fast-check';
import * as router from '@bluebellmast/router';

describe('chooseLink', () => {
	it('makes both ends choose the same of two links that they opened to each other', () => {
		fc.assert(fc.property(fc.boolean(), fc.boolean(), fc.boolean(), fc.boolean(), (aReplaces, bReplaces, aFirst, bFirst) => {
			const keptBy = (self: 'a' | 'b', byAFirst: boolean): string => {
				const properties = {
					byA: {incarnation: 'x', dialled: self === 'a', replacesSilentLink: aReplaces},
					byB: {incarnation: 'x', dialled: self === 'b', replacesSilentLink: bReplaces},
				};
				const [existing, next] = byAFirst ? ['byA', 'byB'] as const : ['byB', 'byA'] as const;
				const peer = self === 'a' ? 'b' : 'a';
				const choice = router.peers.chooseLink(self, peer, properties[existing], properties[next]);
				return choice === router.peers.DuplicateChoice.UseNew ? next : existing;
			};

			chai.expect(keptBy('a', aFirst)).to.equal(keptBy('b', bFirst));
		}), {seed: 21, numRuns: 64});
	});
});
