import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as core from '@bluebellmast/core';

const {expect} = chai;

/** An interrupted request: number of the endpoint, time, shared parts, key of the request. */
type RowInput = readonly [endpoint: number, at: number, sharedParts: string, requestKey: string, hasBegun?: boolean];

function createRow([endpoint, at, sharedParts, requestKey, hasBegun = true]: RowInput): core.quarantine.CrashRow {
	return {
		endpoint: {id: `e-${endpoint}`, bornAt: 1}, at, sharedParts: sharedParts.split(' '), requestKey, hasBegun,
	};
}

function createQuarantine(rows: readonly RowInput[], now: number): core.quarantine.PartQuarantine {
	const quarantine = new core.quarantine.PartQuarantine();
	quarantine.addRows(rows.map(row => createRow(row)), now);
	quarantine.update(now);
	return quarantine;
}

const threeEnds: readonly RowInput[] = [[1, 0, 'x bad', 'o1'], [2, 200, 'y bad', 'o2'], [3, 400, 'z bad', 'o3']];

describe('PartQuarantine', () => {
	const cases = [
		{name: 'a part in progress at three ends', rows: threeEnds, expected: ['bad']},
		{name: 'two ends', rows: threeEnds.slice(0, 2), expected: []},
		{name: 'one request that was repeated', rows: threeEnds.map(([endpoint, at]): RowInput => [endpoint, at, 'x bad', 'o1']), expected: []},
		{
			name: 'ends at one moment, as when endpoints are killed together',
			rows: Array.from({length: 10}, (_, index): RowInput => [index, index * 9, 'x busy', `o${index}`]), expected: [],
		},
		{
			name: 'ends at one moment that some VMs notice late',
			rows: Array.from({length: 20}, (_, index): RowInput => [index % 10, index < 10 ? index : index * 60, 'x busy', `o${index}`]), expected: [],
		},
		{
			name: 'endpoints that are killed in two groups',
			rows: Array.from({length: 10}, (_, index): RowInput => [index, index < 5 ? index : 1000 + index, 'x busy', `o${index}`]), expected: [],
		},
		{
			name: 'requests that may not have started, at three ends',
			rows: threeEnds.map(([endpoint, at, parts, own]): RowInput => [endpoint, at, parts, own, false]), expected: [],
		},
		{
			name: 'requests that may not have started, at five ends',
			rows: Array.from({length: 5}, (_, index): RowInput => [index, index * 200, `x${index} bad`, `o${index}`, false]), expected: ['bad'],
		},
		{
			name: 'two parts',
			rows: [...threeEnds, ...threeEnds.map(([endpoint, at, , own]): RowInput => [endpoint + 3, at + 50, `${own} worse`, own])], expected: ['bad', 'worse'],
		},
		{
			name: 'a part after another one that ends endpoints by itself', rows: [...threeEnds, [4, 600, 'bad worse', 'o4'] as const], expected: ['bad'],
		},
		{name: 'a part that is met once a minute', rows: threeEnds.map(([endpoint, at, parts, own]): RowInput => [endpoint, at * 300, parts, own]), expected: ['bad']},
	];
	for (const {name, rows, expected} of cases) {
		it(`decides on ${name}`, () => {
			const now = Math.max(...rows.map(([, at]) => at));
			expect(createQuarantine(rows, now).list().map(({part}) => part).sort()).to.deep.equal(expected);
		});
	}

	it('refuses only requests with the part, until the evidence has expired', () => {
		const quarantine = createQuarantine(threeEnds, 400);
		expect(quarantine.match(['x', 'bad'], 400)).to.deep.equal({part: 'bad', releasedInMs: 300_000});
		expect(quarantine.match(['new', 'bad'], 1400)?.releasedInMs).to.equal(299_000);
		expect(quarantine.match(['x', 'other'], 400)).to.equal(undefined);
		expect(quarantine.update(300_401).removed.map(({part}) => part)).to.deep.equal(['bad']);
		expect(quarantine.match(['x', 'bad'], 300_401)).to.equal(undefined);
		expect(quarantine.size).to.equal(0);
	});

	it('refuses only requests with both parts as long as these were always together', () => {
		const quarantine = createQuarantine(threeEnds.map(([endpoint, at, , own]): RowInput => [endpoint, at, 'first bad', own]), 400);
		expect(quarantine.match(['first', 'bad'], 400)).to.not.equal(undefined);
		expect(quarantine.match(['first', 'sound'], 400)).to.equal(undefined);
		expect(quarantine.match(['second', 'bad'], 400)).to.equal(undefined);
		quarantine.recordSound(['first', 'sound'], 500);
		quarantine.update(500);
		expect(quarantine.list().map(({part, companions}) => ({part, companions}))).to.deep.equal([{part: 'bad', companions: []}]);
		expect(quarantine.match(['second', 'bad'], 500)).to.not.equal(undefined);
	});

	it('spares a part that was sound shortly before, unless it alone explains five ends', () => {
		const ends = Array.from({length: 5}, (_, index): RowInput => [index, 1000 + (index * 200), `busy p${index}`, `o${index}`]);
		const quarantine = new core.quarantine.PartQuarantine();
		quarantine.recordSound(['busy'], 900);
		quarantine.addRows(ends.slice(0, 4).map(row => createRow(row)), 2000);
		quarantine.update(2000);
		expect(quarantine.list()).to.deep.equal([]);
		quarantine.addRows(ends.map(row => createRow(row)), 2000);
		quarantine.update(2000);
		expect(quarantine.list().map(({part}) => part)).to.deep.equal(['busy']);
	});

	it('spares a part that was sound shortly before if another part explains the ends', () => {
		const quarantine = new core.quarantine.PartQuarantine();
		quarantine.recordSound(['busy'], 900);
		quarantine.addRows(Array.from({length: 6}, (_, index) => createRow([index, 1000 + (index * 200), 'busy bad', `o${index}`])), 3000);
		quarantine.update(3000);
		expect(quarantine.list().map(({part, companions}) => ({part, companions}))).to.deep.equal([{part: 'bad', companions: []}]);
	});

	// Guards against parts that were in progress at some of the ends by chance and are quarantined in place of the cause, which was sound before it began to end endpoints.
	it('holds a part that was sound shortly before for the cause if it explains more ends than others that were never sound', () => {
		const quarantine = new core.quarantine.PartQuarantine();
		quarantine.recordSound(['bad'], 900);
		quarantine.addRows(Array.from({length: 7}, (_, index) => createRow([index, 1000 + (index * 300), 'bad', `o${index}`])), 4000);
		quarantine.addRows([0, 1, 2].map(index => createRow([index, 1000 + (index * 300), 'rare', `r${index}`])), 4000);
		quarantine.addRows([3, 4, 5, 6].map(index => createRow([index, 1000 + (index * 300), 'slow', `s${index}`])), 4000);
		quarantine.update(4000);
		expect(quarantine.list().map(({part}) => part)).to.deep.equal(['bad']);
	});

	it('voids the evidence of endpoints that live on, and of ends before a part was sound', () => {
		const quarantine = createQuarantine(threeEnds, 400);
		expect(quarantine.recordAlive({id: 'e-2', bornAt: 1}, {from: 250, until: 300})).to.equal(false);
		expect(quarantine.recordAlive({id: 'e-2', bornAt: 1}, {from: 150, until: 300})).to.equal(true);
		expect(quarantine.update(500).removed).to.have.lengthOf(1);
		expect(quarantine.addRows(threeEnds.map(row => createRow(row)), 500)).to.deep.equal([]);
		quarantine.addRows([createRow([4, 600, 'v bad', 'o4'])], 600);
		expect(quarantine.update(600).added).to.have.lengthOf(1);
		expect(quarantine.recordSound(['bad'], 700)).to.equal(true);
		expect(quarantine.recordSound(['bad'], 701)).to.equal(false);
		expect(quarantine.update(700).removed).to.have.lengthOf(1);
	});

	// Guards against a VM that learns of a quarantined part by the rows that others repeat, and does not quarantine it.
	it('lists rows that suffice to quarantine the same parts', () => {
		for (const [seed, count] of [1, 2, 3, 4, 5].flatMap(each => [[each, 8], [each, 40]] as const)) {
			const random = new core.util.SeededRandom(seed);
			const inputs = Array.from({length: count * 4}, (_, index): RowInput => [
				index % count, ((index % count) * 17) + random.int(15), `${random.int(2) === 0 ? 'bad' : 'sound'} x${random.int(30)}`, `o${index}`, random.int(4) > 0,
			]);
			const quarantine = createQuarantine([...inputs, ...Array.from({length: count}, (_, index): RowInput => [index, index * 17, 'bad', `p${index}`])], 1000);
			const other = new core.quarantine.PartQuarantine();
			other.addRows(quarantine.listDecisiveRows(), 1000);
			other.update(1000);
			expect(other.match(['bad'], 1000), `seed ${seed}, ${count} ends`).to.not.equal(undefined);
		}
	});

	it('is bounded, and keeps the evidence on quarantined parts', () => {
		const quarantine = createQuarantine(threeEnds, 400);
		for (let number = 0; number < 2000; number++) {
			const at = 400 + number;
			quarantine.addRows([createRow([number + 10, at, `made-up-${number}`, `o-${number}`])], at);
			quarantine.recordSound([`sound-${number}`], at);
		}

		expect(quarantine.size).to.equal(512);
		quarantine.update(2400);
		expect(quarantine.list().map(({part}) => part)).to.deep.equal(['bad']);
	});

	// Guards against verdicts that depend on the order in which VMs learn of interruptions, completed requests and endpoints that live on.
	it('decides alike for evidence in any order and any number of times, and spares parts that are sound after all ends', () => {
		const rowInput = fastCheck.tuple(
			fastCheck.integer({min: 0, max: 8}),
			fastCheck.integer({min: 0, max: 2000}),
			fastCheck.constantFrom('a bad', 'b bad', 'a b', 'c'),
			fastCheck.constantFrom('o1', 'o2', 'o3', 'o4'),
			fastCheck.boolean(),
		);
		fastCheck.assert(fastCheck.property(fastCheck.uniqueArray(rowInput, {selector: row => `${row[0]} ${row[3]}`, maxLength: 30}), fastCheck.integer(), (inputs, seed) => {
			const rows = inputs.map(input => createRow(input));
			const random = new core.util.SeededRandom(seed);
			const apply = (order: readonly core.quarantine.CrashRow[]): core.quarantine.PartQuarantine => {
				const quarantine = new core.quarantine.PartQuarantine();
				for (const row of order) {
					quarantine.addRows([row], 2000);
				}

				quarantine.recordSound(['a'], 1000);
				quarantine.recordAlive({id: 'e-0', bornAt: 1}, {from: -1, until: 3000});
				quarantine.recordSound(['c'], 2001);
				quarantine.update(2001);
				return quarantine;
			};

			const parts = apply(rows).list().map(({part}) => part).sort();
			expect(apply(random.shuffle([...rows, ...rows])).list().map(({part}) => part).sort()).to.deep.equal(parts);
			expect(parts).to.not.include('c');
		}), {seed: 20_261_204, numRuns: 300});
	});
});
