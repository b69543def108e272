import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('DurationTable', () => {
	it('expects without records that a state lasts as long again as it has lasted', () => {
		const table = new core.fleet.DurationTable();
		for (const elapsedMs of [125, 1000, 8000, 64_000]) {
			expect(table.chanceOfEnd(elapsedMs, elapsedMs)).to.be.closeTo(0.5, 1e-9);
			expect(table.medianRemainingMs(elapsedMs)).to.be.closeTo(elapsedMs, 1e-6);
		}
	});

	it('learns how long a state mostly lasts', () => {
		const table = new core.fleet.DurationTable();
		for (let count = 0; count < 20; count++) {
			table.record(1200, true);
		}

		expect(table.chanceOfEnd(0, 900)).to.be.lessThan(0.25);
		expect(table.chanceOfEnd(1000, 1000)).to.be.greaterThan(0.9);
		expect(table.chanceOfEnd(2100, 1000)).to.be.lessThan(0.5);
	});

	it('learns from a state whose end is not known that it has lasted', () => {
		const table = new core.fleet.DurationTable();
		table.record(60_000, false);
		expect(table.chanceOfEnd(1000, 1000)).to.be.closeTo(1 / 4, 1e-9);
		expect(table.chanceOfEnd(64_000, 64_000)).to.be.closeTo(0.5, 1e-9);
	});

	it('forgets what has not occurred for long', () => {
		const table = new core.fleet.DurationTable();
		table.record(60_000, true);
		for (let count = 0; count < 100; count++) {
			table.record(500, true);
		}

		expect(table.chanceOfEnd(0, 1000)).to.be.greaterThan(0.9);
	});

	it('returns a chance that never decreases with the time, also for unlimited times', () => {
		const table = new core.fleet.DurationTable();
		table.record(700, true);
		table.record(90_000, true);
		for (const elapsedMs of [0, 124, 125, 999, 5_000_000, 1e12]) {
			let last = 0;
			for (const withinMs of [0, 1, 100, 10_000, 1e9, Infinity]) {
				const chance = table.chanceOfEnd(elapsedMs, withinMs);
				expect(chance).to.be.within(last, 1);
				last = chance;
			}
		}
	});
});
