import * as chai from 'chai';
import * as fleet from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {EndpointAvailability: availabilities} = core.fleet;
const drainMs = 2000;
const reportLifetimeMs = 5000;
const unlistedLifetimeMs = 60_000;
const entry = fleet.createEntry('a');

function createLeaving(): core.fleet.LeavingEndpoints {
	return new core.fleet.LeavingEndpoints({drainMs, reportLifetimeMs, unlistedLifetimeMs});
}

type AvailabilityCase = {
	readonly name: string;
	readonly prepare: (leaving: core.fleet.LeavingEndpoints) => void;
	readonly endpoint?: core.fleet.EndpointIncarnation;
	readonly now: number;
	readonly expected: core.fleet.EndpointAvailability;
};

const availabilityCases: readonly AvailabilityCase[] = [
	{
		name: 'an endpoint that announced nothing', prepare() {}, now: 0, expected: availabilities.Available, // eslint-disable-line @typescript-eslint/no-empty-function -- Nothing happened.
	},
	{
		name: 'a notice of this VM',
		prepare(leaving) {
			leaving.recordNotice(entry, 100);
		},
		now: 100,
		expected: availabilities.LastResort,
	},
	{
		name: 'a notice just before the end of the drain time',
		prepare(leaving) {
			leaving.recordNotice(entry, 100);
		},
		now: 100 + drainMs - 1,
		expected: availabilities.LastResort,
	},
	{
		name: 'a notice at the end of the drain time',
		prepare(leaving) {
			leaving.recordNotice(entry, 100);
		},
		now: 100 + drainMs,
		expected: availabilities.Unavailable,
	},
	{
		name: 'a repeated notice, which does not extend the drain time',
		prepare(leaving) {
			leaving.recordNotice(entry, 100);
			leaving.recordNotice(entry, 2000);
		},
		now: 100 + drainMs,
		expected: availabilities.Unavailable,
	},
	{
		name: 'a notice long ago while the incarnation is listed',
		prepare(leaving) {
			leaving.recordNotice(entry, 100);
			leaving.retain([entry], 1_000_000);
		},
		now: 10_000_000,
		expected: availabilities.Unavailable,
	},
	{
		name: 'the next incarnation under the same id',
		prepare(leaving) {
			leaving.recordNotice(entry, 100);
		},
		endpoint: {...entry, bornAt: 2},
		now: 100,
		expected: availabilities.Available,
	},
	{
		name: 'an incarnation that started before by a clock that is late',
		prepare(leaving) {
			leaving.recordNotice({...entry, bornAt: 2}, 100);
		},
		now: 100,
		expected: availabilities.Available,
	},
	{
		name: 'a late response of the previous incarnation after a notice of the present one',
		prepare(leaving) {
			leaving.recordNotice({...entry, bornAt: 2}, 100);
			leaving.recordNotice(entry, 100 + drainMs);
		},
		endpoint: {...entry, bornAt: 2},
		now: 100 + drainMs,
		expected: availabilities.Unavailable,
	},
	{
		name: 'another endpoint at the same address',
		prepare(leaving) {
			leaving.recordNotice(entry, 100);
		},
		endpoint: {...entry, id: 'b'},
		now: 100,
		expected: availabilities.Available,
	},
	{
		name: 'a report of another VM',
		prepare(leaving) {
			leaving.recordReport(entry, 100);
		},
		now: 100 + reportLifetimeMs - 1,
		expected: availabilities.ReportedLeaving,
	},
	{
		name: 'a report that has expired',
		prepare(leaving) {
			leaving.recordReport(entry, 100);
		},
		now: 100 + reportLifetimeMs,
		expected: availabilities.Available,
	},
	{
		name: 'a report that was repeated',
		prepare(leaving) {
			leaving.recordReport(entry, 100);
			leaving.recordReport(entry, 4000);
		},
		now: 100 + reportLifetimeMs,
		expected: availabilities.ReportedLeaving,
	},
	{
		name: 'a report of the previous incarnation',
		prepare(leaving) {
			leaving.recordReport(entry, 100);
		},
		endpoint: {...entry, bornAt: 2},
		now: 100,
		expected: availabilities.Available,
	},
	{
		name: 'a report after a notice of this VM',
		prepare(leaving) {
			leaving.recordNotice(entry, 100);
			leaving.recordReport(entry, 4000);
		},
		now: 4000,
		expected: availabilities.Unavailable,
	},
	{
		name: 'a notice of an incarnation that a restored store lists again',
		prepare(leaving) {
			leaving.recordNotice(entry, 100);
			leaving.retain([], 5000);
			leaving.retain([entry], 20_000);
			leaving.retain([entry], 200_000);
		},
		now: 200_000,
		expected: availabilities.Unavailable,
	},
];

describe('LeavingEndpoints', () => {
	for (const {name, prepare, endpoint = entry, now, expected} of availabilityCases) {
		it(`decides on ${name}`, () => {
			const leaving = createLeaving();
			prepare(leaving);
			expect(leaving.availabilityOf(endpoint, now)).to.equal(expected);
		});
	}

	it('allows no new requests after a notice if the drain time is unknown', () => {
		const leaving = new core.fleet.LeavingEndpoints();
		leaving.recordNotice(entry, 100);
		expect(leaving.availabilityOf(entry, 100)).to.equal(availabilities.Unavailable);
	});

	it('tells the first notice of an incarnation from the others', () => {
		const leaving = createLeaving();
		expect([entry, entry, {...entry, bornAt: 2}, entry].map(endpoint => leaving.recordNotice(endpoint, 1))).to.deep.equal([true, false, true, false]);
	});

	it('groups endpoints by availability, the most preferred first, without those that get no new requests', () => {
		const leaving = createLeaving();
		const entries = ['stays', 'left', 'leaves', 'reported'].map(id => fleet.createEntry(id));
		leaving.recordNotice(entries[1]!, 0);
		leaving.recordNotice(entries[2]!, drainMs);
		leaving.recordReport(entries[3]!, drainMs);
		const groups = leaving.groupByAvailability(entries, drainMs);
		expect(groups.map(group => [group.availability, group.entries.map(({id}) => id)])).to.deep.equal([
			[availabilities.Available, ['stays']],
			[availabilities.ReportedLeaving, ['reported']],
			[availabilities.LastResort, ['leaves']],
		]);
	});

	it('reports the latest notices of listed incarnations', () => {
		const leaving = createLeaving();
		const entries = ['a', 'b', 'c', 'd'].map(id => fleet.createEntry(id));
		for (const [index, each] of entries.entries()) {
			leaving.recordNotice(each, index);
		}

		leaving.recordReport(fleet.createEntry('e'), 5);
		leaving.retain(entries.slice(0, 3), 10);
		expect(leaving.listNoticed(2).map(({id}) => id)).to.deep.equal(['c', 'b']);
		expect(leaving.listNoticed(9).map(({id}) => id)).to.deep.equal(['c', 'b', 'a']);
	});

	it('keeps nothing of 10,000 incarnations that have ended', () => {
		const leaving = createLeaving();
		for (let bornAt = 0; bornAt < 10_000; bornAt++) {
			leaving.recordNotice({id: 'a', bornAt}, bornAt);
			leaving.recordReport({id: 'b', bornAt}, bornAt);
		}

		leaving.retain([], 10_000);
		expect(leaving.size).to.equal(10_000);
		leaving.retain([], 10_000 + unlistedLifetimeMs);
		expect(leaving.size).to.equal(0);
	});
});
