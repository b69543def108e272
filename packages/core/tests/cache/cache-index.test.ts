import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {cacheChange, outcome} = {cacheChange: core.cache.CacheChange, outcome: core.cache.CacheEventOutcome};
const seed = 20_261_203;
const salts = ['["a","m@1"]', '["b","m@1"]', '["a","m@2"]'];

function pieces(...keys: string[]): core.cache.PrefixPiece[] {
	return keys.map(key => ({key, tokens: 10}));
}

/** One step of an engine or its index; events reach the index late, and some are lost. */
const step = fc.record({
	engine: fc.nat(2),
	action: fc.constantFrom('store', 'evict', 'clear', 'crash', 'observe', 'answer', 'late_answer'),
	salt: fc.nat(2),
	key: fc.nat(5),
	isLost: fc.boolean(),
	delay: fc.nat(6),
});

describe('CacheIndex', () => {
	it('never returns a hit for an ended incarnation, another account or other weights', () => {
		fc.assert(fc.property(fc.array(step, {maxLength: 80}), steps => {
			const cacheIndex = new core.cache.CacheIndex({maxBytes: 4000});
			const engines = [0, 1, 2].map(name => ({name: `e${name}`, incarnation: 0, sequence: 0}));
			const late: Array<{due: number; deliver: () => void}> = [];
			const seen = new Map<string, number>();
			for (const [index, {engine: number, action, salt, key, isLost, delay}] of steps.entries()) {
				const engine = engines[number]!;
				const name = `k${key}`;
				if (action === 'crash') {
					engine.incarnation += 1;
					engine.sequence = 0;
				} else if (action === 'observe') {
					cacheIndex.observeIncarnation(engine.name, `${engine.incarnation}`);
					seen.set(engine.name, engine.incarnation);
				} else if (action.endsWith('answer')) {
					const incarnation = Math.max(0, engine.incarnation - (action === 'late_answer' ? 1 : 0));
					cacheIndex.applyResponse({
						endpoint: engine.name, incarnation: `${incarnation}`, salt: salts[salt]!, pieces: pieces(name), cachedTokens: 0,
					});
				} else {
					engine.sequence += 1;
					const {incarnation, sequence} = engine;
					const change = action === 'store' ? cacheChange.Stored : (action === 'evict' ? cacheChange.Evicted : cacheChange.Cleared);
					if (!isLost) {
						late.push({
							due: index + delay, deliver() {
								cacheIndex.applyEvent(engine.name, {
									incarnation: `${incarnation}`, sequence, change, key: name,
								});
							},
						});
					}
				}

				for (const event of late.filter(entry => entry.due === index)) {
					event.deliver();
				}

				for (const lookupSalt of salts) {
					for (const hit of cacheIndex.lookup(lookupSalt, pieces(name))) {
						expect(hit.incarnation).to.equal(`${seen.get(hit.endpoint)}`);
						expect(hit.tokens).to.be.at.most(hit.tokensWithUnconfirmed);
					}
				}

				const matchingSalts = salts.filter(lookupSalt => cacheIndex.lookup(lookupSalt, pieces(name)).length > 0);
				expect(matchingSalts.length).to.be.at.most(1);
				expect(cacheIndex.bytes).to.be.at.most(4000);
			}
		}), {seed, numRuns: 500});
	});

	it('applies events, and treats pieces from before a gap as unconfirmed until a response confirms them', () => {
		const cacheIndex = new core.cache.CacheIndex();
		cacheIndex.observeIncarnation('e', 'i');
		const event = {incarnation: 'i', change: cacheChange.Stored};
		expect(cacheIndex.applyEvent('e', {...event, sequence: 1, key: 'k1'})).to.equal(outcome.Applied);
		expect(cacheIndex.applyEvent('e', {...event, sequence: 2, key: 'k2'})).to.equal(outcome.Applied);
		expect(cacheIndex.lookup('s', pieces('k1', 'k2', 'k3'))).to.deep.equal([{
			endpoint: 'e', incarnation: 'i', tokens: 20, tokensWithUnconfirmed: 20,
		}]);
		expect(cacheIndex.applyEvent('e', {...event, sequence: 4, key: 'k3'})).to.equal(outcome.AppliedAfterGap);
		expect(cacheIndex.lookup('s', pieces('k1', 'k2'))[0]).to.include({tokens: 0, tokensWithUnconfirmed: 20});
		expect(cacheIndex.applyEvent('e', {...event, sequence: 4, key: 'k1'})).to.equal(outcome.Ignored);
		cacheIndex.applyResponse({
			endpoint: 'e', incarnation: 'i', salt: 's', pieces: pieces('k1'), cachedTokens: 10,
		});
		expect(cacheIndex.lookup('s', pieces('k1', 'k2'))[0]).to.include({tokens: 10, tokensWithUnconfirmed: 20});
		cacheIndex.applyEvent('e', {
			incarnation: 'i', sequence: 5, change: cacheChange.Evicted, key: 'k1',
		});
		expect(cacheIndex.lookup('s', pieces('k1', 'k2'))).to.deep.equal([]);
	});

	it('keeps unconfirmed pieces over 16 gaps, and drops older ones', () => {
		const cacheIndex = new core.cache.CacheIndex();
		cacheIndex.observeIncarnation('e', 'i');
		cacheIndex.addExpectedKeys('e', 'i', ['k1']);
		for (let gap = 0; gap < 16; gap++) {
			cacheIndex.markGap('e');
		}

		expect(cacheIndex.lookup('s', pieces('k1'))[0]).to.include({tokens: 0, tokensWithUnconfirmed: 10});
		cacheIndex.markGap('e');
		expect(cacheIndex.lookup('s', pieces('k1'))).to.deep.equal([]);
	});

	it('removes the pieces that a failed attempt was expected to compute', () => {
		const cacheIndex = new core.cache.CacheIndex();
		cacheIndex.observeIncarnation('e', 'i');
		const report = {
			endpoint: 'e', incarnation: 'i', salt: 's', pieces: pieces('k1', 'k2'),
		};
		cacheIndex.addExpected(report);
		cacheIndex.removeExpected(report, 10);
		expect(cacheIndex.lookup('s', report.pieces)[0]).to.include({tokens: 10});
	});

	it('replaces a digest by the next one and never accepts an ended incarnation again', () => {
		const cacheIndex = new core.cache.CacheIndex();
		cacheIndex.observeIncarnation('e', 'i');
		cacheIndex.applyDigest('e', 'i', ['k1', 'k2']);
		cacheIndex.applyDigest('e', 'i', ['k2']);
		expect([cacheIndex.holds('e', 'k1'), cacheIndex.holds('e', 'k2')]).to.deep.equal([false, true]);
		cacheIndex.observeIncarnation('e', 'j');
		cacheIndex.applyDigest('e', 'i', ['k1']);
		expect(cacheIndex.lookup('s', pieces('k1'))).to.deep.equal([]);
		expect(cacheIndex.observeIncarnation('e', 'i')).to.equal(false);
	});
});
