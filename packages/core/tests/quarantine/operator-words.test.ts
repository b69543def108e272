import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {
	OperatorAction: actions, applyOperatorOrder, liftLifetimeMs, maxOperatorWords, maxWordLifetimeMs,
} = core.quarantine;
const minuteMs = 60_000;
const wallNow = 1_700_000_000_000;

function createOrder(part: string, action = actions.Add, lifetimeMs = 10 * minuteMs): core.quarantine.OperatorOrder {
	return {
		part, action, lifetimeMs, by: 'alice', reason: 'crashes engines',
	};
}

function createWord(fields: Partial<core.quarantine.OperatorWord> = {}): core.quarantine.OperatorWord {
	return {
		part: 'm/a', action: actions.Add, at: wallNow, until: wallNow + (10 * minuteMs), by: 'alice', reason: 'crashes engines', ...fields,
	};
}

function applyOrders(...orders: readonly core.quarantine.OperatorOrder[]): readonly core.quarantine.OperatorWord[] {
	let words: readonly core.quarantine.OperatorWord[] = [];
	for (const order of orders) {
		words = applyOperatorOrder(words, order, wallNow).unsafeCoerce();
	}

	return words;
}

describe('applyOperatorOrder', () => {
	it('replaces the earlier word on the part by a later one, also by the same clock', () => {
		const [first, second] = applyOrders(createOrder('m/b'), createOrder('m/a'), createOrder('m/b', actions.Lift));
		expect([first!.part, second!.part]).to.deep.equal(['m/a', 'm/b']);
		expect(second).to.include({action: actions.Lift, at: wallNow + 2});
	});

	const lifetimes = [
		{name: 'an addition', orders: [createOrder('m/a')], expectedMs: 10 * minuteMs},
		{name: 'an addition for too long', orders: [createOrder('m/a', actions.Add, 9 * maxWordLifetimeMs)], expectedMs: maxWordLifetimeMs},
		{name: 'a lift of an addition', orders: [createOrder('m/a', actions.Add, 30 * minuteMs), createOrder('m/a', actions.Lift, liftLifetimeMs)], expectedMs: 30 * minuteMs},
		{name: 'a lift of evidence', orders: [createOrder('m/a', actions.Lift, liftLifetimeMs)], expectedMs: liftLifetimeMs},
	];
	for (const {name, orders, expectedMs} of lifetimes) {
		it(`bounds the lifetime of ${name}`, () => {
			expect(applyOrders(...orders).at(-1)!.until).to.equal(wallNow + expectedMs);
		});
	}

	it('refuses a word beyond the largest number, until one has ended', () => {
		const words = applyOrders(...Array.from({length: maxOperatorWords}, (_, index) => createOrder(`m/${index}`)));
		expect(applyOperatorOrder(words, createOrder('m/x'), wallNow).isLeft()).to.equal(true);
		expect(applyOperatorOrder(words, createOrder('m/0', actions.Lift), wallNow).isRight()).to.equal(true);
		expect(applyOperatorOrder(words, createOrder('m/x'), wallNow + (11 * minuteMs)).unsafeCoerce()).to.have.lengthOf(1);
	});
});

describe('OperatorWords', () => {
	const now = 500_000;
	const changed = {after: now - 1000, before: now};

	const readings = [
		{
			name: 'one that was just read', word: createWord({at: wallNow - 300}), changed, expected: now - 300,
		},
		{
			name: 'one of an operator whose clock is 20 s behind', word: createWord({at: wallNow - 20_000}), changed, expected: now - 1000,
		},
		{
			name: 'one of an operator whose clock is 20 s ahead', word: createWord({at: wallNow + 20_000}), changed, expected: now,
		},
		{
			name: 'one that a store shows again that returned from a copy', word: createWord({at: wallNow - (5 * minuteMs)}), changed, expected: now - (5 * minuteMs),
		},
		{
			name: 'one that a VM reads at its start', word: createWord({at: wallNow - 20_000}), changed: {after: -Infinity, before: now}, expected: now - 20_000,
		},
	];
	for (const {name, word, changed, expected} of readings) {
		it(`counts ${name} from the time at which it was said`, () => {
			const kept = new core.quarantine.OperatorWords().record(word, {changed, now, wallNow});
			expect(kept?.saidAt).to.equal(expected);
			expect(kept?.endsAt).to.equal(expected + word.until - word.at);
		});
	}

	it('keeps the later word on a part, in any order and any number of times', () => {
		const words = new core.quarantine.OperatorWords();
		const reading = {changed, now, wallNow};
		const added = createWord({at: wallNow - 200});
		const lifted = createWord({at: wallNow - 100, action: actions.Lift});
		expect([lifted, added, lifted].map(word => words.record(word, reading) !== undefined)).to.deep.equal([true, false, false]);
		expect(words.findAdded(['m/a'], now)).to.equal(undefined);
		expect(words.record(createWord(), reading)).to.include({action: actions.Add});
		expect(words.findAdded(['m/x', 'm/a'], now)?.part).to.equal('m/a');
	});

	it('ends words by their own time, and is bounded', () => {
		const words = new core.quarantine.OperatorWords();
		const reading = {changed, now, wallNow};
		expect(words.record(createWord({at: wallNow - (11 * minuteMs), until: wallNow - minuteMs}), reading)).to.equal(undefined);
		for (let index = 0; index < 2 * maxOperatorWords; index++) {
			words.record(createWord({part: `m/${index}`, at: wallNow - 500 + index}), reading);
		}

		expect(words.size).to.equal(maxOperatorWords);
		expect(words.findAdded(['m/0'], now)).to.equal(undefined);
		const endsAt = now + (10 * minuteMs);
		expect(words.findAdded([`m/${(2 * maxOperatorWords) - 1}`], endsAt)).to.equal(undefined);
		expect(words.expire(endsAt)).to.have.lengthOf(maxOperatorWords);
		expect(words.size).to.equal(0);
	});
});

describe('PartQuarantine.lift', () => {
	const rows = [1, 2, 3].map((number): core.quarantine.CrashRow => ({
		endpoint: {id: `e-${number}`, bornAt: 1}, at: number * 100, sharedParts: ['m/first', `m/other-${number}`, 'm/bad'], ownPart: `o${number}`, hasBegun: true,
	}));

	function list(quarantine: core.quarantine.PartQuarantine, now: number): string[] {
		quarantine.update(now);
		return quarantine.list().map(({part}) => part);
	}

	it('releases the part, and holds none of the parts beside it to be the cause instead', () => {
		const quarantine = new core.quarantine.PartQuarantine();
		quarantine.addRows(rows, 400);
		expect(list(quarantine, 400)).to.have.lengthOf(1);
		quarantine.lift('m/bad', 400);
		expect(list(quarantine, 400)).to.deep.equal([]);
		expect(quarantine.size).to.equal(0);
	});

	it('ignores earlier evidence that arrives later, as from a VM that has not read the word', () => {
		const quarantine = new core.quarantine.PartQuarantine();
		quarantine.lift('m/bad', 400);
		expect(quarantine.addRows(rows, 500)).to.deep.equal([]);
		expect(list(quarantine, 500)).to.deep.equal([]);
	});

	it('quarantines the part again by as much new evidence as ever', () => {
		const quarantine = new core.quarantine.PartQuarantine();
		quarantine.addRows(rows, 400);
		quarantine.lift('m/bad', 400);
		const later = rows.map(row => ({...row, endpoint: {...row.endpoint, bornAt: 2}, at: row.at + 1000}));
		quarantine.addRows(later.slice(0, 2), 1300);
		expect(list(quarantine, 1300)).to.deep.equal([]);
		quarantine.addRows(later.slice(2), 1400);
		expect(list(quarantine, 1400)).to.have.lengthOf(1);
	});

	it('leaves the evidence of requests without the part', () => {
		const quarantine = new core.quarantine.PartQuarantine();
		quarantine.addRows(rows.map(row => ({...row, sharedParts: ['m/worse']})), 400);
		quarantine.lift('m/bad', 400);
		expect(list(quarantine, 400)).to.deep.equal(['m/worse']);
	});
});
