import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {
	OperatorAction: actions, applyOperatorOrder, liftLifetimeMs, maxOperatorOverrides, maxOverrideLifetimeMs,
} = core.quarantine;
const minuteMs = 60_000;
const wallNow = 1_700_000_000_000;

function createOrder(part: string, action = actions.Add, lifetimeMs = 10 * minuteMs): core.quarantine.OperatorOrder {
	return {
		part, action, lifetimeMs, by: 'alice', reason: 'crashes engines',
	};
}

function createOverride(fields: Partial<core.quarantine.OperatorOverride> = {}): core.quarantine.OperatorOverride {
	return {
		part: 'm/a', action: actions.Add, at: wallNow, until: wallNow + (10 * minuteMs), by: 'alice', reason: 'crashes engines', ...fields,
	};
}

function applyOrders(...orders: readonly core.quarantine.OperatorOrder[]): readonly core.quarantine.OperatorOverride[] {
	let overrides: readonly core.quarantine.OperatorOverride[] = [];
	for (const order of orders) {
		overrides = applyOperatorOrder(overrides, order, wallNow).unsafeCoerce();
	}

	return overrides;
}

describe('applyOperatorOrder', () => {
	it('replaces the earlier override on the part by a later one, also by the same clock', () => {
		const [first, second] = applyOrders(createOrder('m/b'), createOrder('m/a'), createOrder('m/b', actions.Lift));
		expect([first!.part, second!.part]).to.deep.equal(['m/a', 'm/b']);
		expect(second).to.include({action: actions.Lift, at: wallNow + 2});
	});

	const lifetimes = [
		{name: 'an addition', orders: [createOrder('m/a')], expectedMs: 10 * minuteMs},
		{name: 'an addition for too long', orders: [createOrder('m/a', actions.Add, 9 * maxOverrideLifetimeMs)], expectedMs: maxOverrideLifetimeMs},
		{name: 'a lift of an addition', orders: [createOrder('m/a', actions.Add, 30 * minuteMs), createOrder('m/a', actions.Lift, liftLifetimeMs)], expectedMs: 30 * minuteMs},
		{name: 'a lift of evidence', orders: [createOrder('m/a', actions.Lift, liftLifetimeMs)], expectedMs: liftLifetimeMs},
	];
	for (const {name, orders, expectedMs} of lifetimes) {
		it(`bounds the lifetime of ${name}`, () => {
			expect(applyOrders(...orders).at(-1)!.until).to.equal(wallNow + expectedMs);
		});
	}

	it('refuses an override beyond the largest number, until one has ended', () => {
		const overrides = applyOrders(...Array.from({length: maxOperatorOverrides}, (_, index) => createOrder(`m/${index}`)));
		expect(applyOperatorOrder(overrides, createOrder('m/x'), wallNow).isLeft()).to.equal(true);
		expect(applyOperatorOrder(overrides, createOrder('m/0', actions.Lift), wallNow).isRight()).to.equal(true);
		expect(applyOperatorOrder(overrides, createOrder('m/x'), wallNow + (11 * minuteMs)).unsafeCoerce()).to.have.lengthOf(1);
	});
});

describe('OperatorOverrides', () => {
	const now = 500_000;
	const changed = {after: now - 1000, before: now};

	const readings = [
		{
			name: 'one that was just read', override: createOverride({at: wallNow - 300}), changed, expected: now - 300,
		},
		{
			name: 'one of an operator whose clock is 20 s behind', override: createOverride({at: wallNow - 20_000}), changed, expected: now - 1000,
		},
		{
			name: 'one of an operator whose clock is 20 s ahead', override: createOverride({at: wallNow + 20_000}), changed, expected: now,
		},
		{
			name: 'one that a store shows again that returned from a copy', override: createOverride({at: wallNow - (5 * minuteMs)}), changed, expected: now - (5 * minuteMs),
		},
		{
			name: 'one that a VM reads at its start', override: createOverride({at: wallNow - 20_000}), changed: {after: -Infinity, before: now}, expected: now - 20_000,
		},
	];
	for (const {name, override, changed, expected} of readings) {
		it(`counts ${name} from the time at which it was said`, () => {
			const kept = new core.quarantine.OperatorOverrides().record(override, {changed, now, wallNow});
			expect(kept?.givenAt).to.equal(expected);
			expect(kept?.endsAt).to.equal(expected + override.until - override.at);
		});
	}

	it('keeps the later override on a part, in any order and any number of times', () => {
		const overrides = new core.quarantine.OperatorOverrides();
		const reading = {changed, now, wallNow};
		const added = createOverride({at: wallNow - 200});
		const lifted = createOverride({at: wallNow - 100, action: actions.Lift});
		expect([lifted, added, lifted].map(override => overrides.record(override, reading) !== undefined)).to.deep.equal([true, false, false]);
		expect(overrides.findAdded(['m/a'], now)).to.equal(undefined);
		expect(overrides.record(createOverride(), reading)).to.include({action: actions.Add});
		expect(overrides.findAdded(['m/x', 'm/a'], now)?.part).to.equal('m/a');
	});

	it('ends overrides by their own time, and is bounded', () => {
		const overrides = new core.quarantine.OperatorOverrides();
		const reading = {changed, now, wallNow};
		expect(overrides.record(createOverride({at: wallNow - (11 * minuteMs), until: wallNow - minuteMs}), reading)).to.equal(undefined);
		for (let index = 0; index < 2 * maxOperatorOverrides; index++) {
			overrides.record(createOverride({part: `m/${index}`, at: wallNow - 500 + index}), reading);
		}

		expect(overrides.size).to.equal(maxOperatorOverrides);
		expect(overrides.findAdded(['m/0'], now)).to.equal(undefined);
		const endsAt = now + (10 * minuteMs);
		expect(overrides.findAdded([`m/${(2 * maxOperatorOverrides) - 1}`], endsAt)).to.equal(undefined);
		expect(overrides.expire(endsAt)).to.have.lengthOf(maxOperatorOverrides);
		expect(overrides.size).to.equal(0);
	});
});

describe('PartQuarantine.lift', () => {
	const rows = [1, 2, 3].map((number): core.quarantine.CrashRow => ({
		endpoint: {id: `e-${number}`, bornAt: 1}, at: number * 100, sharedParts: ['m/first', `m/other-${number}`, 'm/bad'], requestKey: `o${number}`, hasBegun: true,
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

	it('ignores earlier evidence that arrives later, as from a VM that has not read the override', () => {
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
