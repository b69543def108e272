import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {EraVerdict: verdicts} = core.store;

describe('EraTracker', () => {
	const cases: ReadonlyArray<{
		readonly name: string; readonly seen: ReadonlyArray<number | undefined>; readonly era?: number; readonly basedOn?: number;
		readonly verdict: core.store.EraVerdict; readonly hasRisen?: boolean;
	}> = [
		{
			name: 'the first era is no rise', seen: [], era: 4, verdict: verdicts.Current,
		},
		{
			name: 'the same era', seen: [4], era: 4, basedOn: 4, verdict: verdicts.Current,
		},
		{
			name: 'a newer era', seen: [4], era: 5, verdict: verdicts.Current, hasRisen: true,
		},
		{
			name: 'a newer era than that of the call', seen: [4], era: 5, basedOn: 4, verdict: verdicts.Crossed, hasRisen: true,
		},
		{
			name: 'a call from before a rise', seen: [4, 5], era: 5, basedOn: 4, verdict: verdicts.Crossed,
		},
		{
			name: 'a late response', seen: [4, 5], era: 4, verdict: verdicts.Outdated,
		},
		{
			name: 'a late response to a late call', seen: [4, 5], era: 4, basedOn: 4, verdict: verdicts.Outdated,
		},
		{
			name: 'several returns at once', seen: [4], era: 7, verdict: verdicts.Current, hasRisen: true,
		},
		{name: 'no era at all', seen: [undefined], verdict: verdicts.Current},
		{
			name: 'no era any more', seen: [4], basedOn: 4, verdict: verdicts.Current,
		},
		{
			name: 'no era, but the call is from before a rise', seen: [4, 5], basedOn: 4, verdict: verdicts.Crossed,
		},
	];
	for (const {name, seen, era, basedOn, verdict, hasRisen = false} of cases) {
		it(`judges ${name}`, () => {
			const tracker = new core.store.EraTracker();
			for (const earlier of seen) {
				tracker.judge(earlier);
			}

			expect(tracker.judge(era, basedOn)).to.deep.equal({verdict, hasRisen});
		});
	}

	it('never uses a response of an older era, or to a call based on one, whatever came before', () => {
		const response = fc.record({
			era: fc.option(fc.integer({min: 0, max: 6}), {nil: undefined}),
			basedOn: fc.option(fc.integer({min: 0, max: 6}), {nil: undefined}),
		});
		fc.assert(fc.property(fc.array(response, {maxLength: 40}), responses => {
			const tracker = new core.store.EraTracker();
			let newest: number | undefined;
			let rises = 0;
			for (const {era, basedOn} of responses) {
				const {verdict, hasRisen} = tracker.judge(era, basedOn);
				rises += hasRisen ? 1 : 0;
				newest = Math.max(newest ?? era ?? -1, era ?? -1);
				expect(tracker.newest ?? -1).to.equal(newest);
				expect(verdict === verdicts.Current).to.equal((era ?? newest) === newest && (basedOn ?? newest) >= newest);
			}

			expect(rises).to.be.at.most(6);
		}), {seed: 28, numRuns: 500});
	});
});

describe('parseEra', () => {
	const cases: ReadonlyArray<readonly [string, number | undefined]> = [
		['0', 0],
		['7', 7],
		['268435455', 268_435_455],
		['268435456', undefined],
		['', undefined],
		['-1', undefined],
		['1.5', undefined],
		['1e3', undefined],
		['seven', undefined],
		['1, 2', undefined],
		['99999999999999999999', undefined],
	];
	for (const [text, era] of cases) {
		it(`reads ${JSON.stringify(text)} as ${era}`, () => {
			expect(core.store.parseEra(text)).to.equal(era);
		});
	}
});

describe('createFencingToken', () => {
	it('is the revision without an era', () => {
		fc.assert(fc.property(fc.integer({min: 1, max: 2 ** 40}), revision => {
			expect(core.store.createFencingToken(revision)).to.equal(revision);
		}), {seed: 28});
	});

	it('rises within an era and over every return from a copy', () => {
		const eras = fc.integer({min: 0, max: core.store.maxEra - 1});
		fc.assert(fc.property(eras, fc.integer({min: 2, max: 2 ** 40}), fc.integer({min: 0, max: (2 ** 24) - 1}), (era, revision, lost) => {
			const before = core.store.createFencingToken(revision, era);
			const after = core.store.createFencingToken(Math.max(1, revision - lost), era + 1);
			expect(core.store.createFencingToken(revision - 1, era)).to.be.lessThan(before);
			expect(after).to.be.greaterThan(before);
			expect(Number.isSafeInteger(after)).to.equal(true);
		}), {seed: 28, numRuns: 500});
	});
});

describe('computeRegistrationDelayMs', () => {
	it('spreads the registrations of a fleet within the rate, and registers a small fleet within a fraction of a second', () => {
		const random = new core.util.SeededRandom(28);
		for (const vms of [7, 195]) {
			const delays = Array.from({length: vms}, () => core.store.computeRegistrationDelayMs(vms, random.int(1000) / 1000));
			const inFirstSecond = delays.filter(delayMs => delayMs < 1000).length;
			expect(inFirstSecond).to.be.at.most(80);
			expect(Math.max(...delays)).to.be.at.most(vms * 20);
		}
	});
});
