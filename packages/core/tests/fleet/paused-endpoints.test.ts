import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const endpoint: core.fleet.EndpointIncarnation = {id: 'a', bornAt: 1};
const restarted: core.fleet.EndpointIncarnation = {id: 'a', bornAt: 2};
const unlisted = (): undefined => undefined;

function createPaused(pauseMs: number, spread = 0): core.fleet.PausedEndpoints {
	const pauses = new core.fleet.PausedEndpoints();
	pauses.pause(endpoint, pauseMs, spread, 0);
	return pauses;
}

describe('endpoints that asked for a pause', () => {
	const dayMs = 86_400_000;
	const ends = [
		{asked: [{at: 0, ms: 500}], endsAt: 500},
		{asked: [{at: 0, ms: 0.5}], endsAt: 0.5},
		{asked: [{at: 0, ms: 5000}, {at: 100, ms: 500}], endsAt: 5000},
		{asked: [{at: 0, ms: 500}, {at: 100, ms: 5000}], endsAt: 5100},
		{asked: [{at: 0, ms: 500}, {at: 600, ms: 500}], endsAt: 1100},
		{asked: [{at: 0, ms: Infinity}], endsAt: dayMs},
	];
	for (const {asked, endsAt} of ends) {
		it(`are paused until ${endsAt} ms after asking ${asked.map(({at, ms}) => `for ${ms} ms at ${at}`).join(' and ')}`, () => {
			const pauses = new core.fleet.PausedEndpoints();
			for (const {at, ms} of asked) {
				pauses.pause(endpoint, ms, 0, at);
			}

			expect(pauses.isPaused(endpoint, endsAt - 0.1)).to.equal(true);
			expect(pauses.isPaused(endpoint, endsAt)).to.equal(false);
		});
	}

	it('say which pause begins, and that none does while one is in progress', () => {
		const pauses = new core.fleet.PausedEndpoints();
		const begins = [0, 100, 500].map(at => pauses.pause(endpoint, 500, 0, at));
		expect(begins).to.deep.equal([500, undefined, undefined]);
		expect(pauses.pause(endpoint, Infinity, 0, 1000)).to.equal(dayMs);
	});

	it('are not paused in another incarnation, nor by a late response of the one before', () => {
		const pauses = createPaused(500);
		expect(pauses.isPaused(restarted, 100)).to.equal(false);
		pauses.pause(restarted, 500, 0, 100);
		expect(pauses.pause(endpoint, 5000, 0, 200)).to.equal(undefined);
		expect(pauses.isPaused(restarted, 599)).to.equal(true);
		expect(pauses.isPaused(restarted, 600)).to.equal(false);
	});

	it('get two urgent calls in a pause, however often it is extended', () => {
		const pauses = createPaused(500);
		pauses.recordCall(endpoint, 100);
		pauses.pause(endpoint, 500, 0, 200);
		expect(pauses.mayCallUrgently(endpoint, 600)).to.equal(true);
		pauses.recordCall(endpoint, 600);
		expect(pauses.mayCallUrgently(endpoint, 600)).to.equal(false);
		expect(pauses.mayCallUrgently(endpoint, 700)).to.equal(true);
	});

	it('are listed with the time that remains until its end', () => {
		const pauses = createPaused(500);
		expect(pauses.list(100)).to.deep.equal([{endpoint: 'a', bornAt: 1, remainingMs: 400}]);
		expect(pauses.list(500)).to.deep.equal([]);
	});

	describe('after the pause', () => {
		const spreads = [
			{pauseMs: 500, spread: 0, resumesInMs: 500},
			{pauseMs: 500, spread: 0.5, resumesInMs: 750},
			{pauseMs: 60_000, spread: 0.5, resumesInMs: 61_000},
		];
		for (const {pauseMs, spread, resumesInMs} of spreads) {
			it(`get requests again after ${resumesInMs} ms if they asked for ${pauseMs} ms and the VM has place ${spread}`, () => {
				expect(createPaused(pauseMs, spread).findRampUp(endpoint, 0)?.resumesInMs).to.equal(resumesInMs);
			});
		}

		const steps = [
			{at: 500, shareOfSlots: 9, allowed: 2},
			{at: 624, shareOfSlots: 9, allowed: 2},
			{at: 625, shareOfSlots: 9, allowed: 4},
			{at: 750, shareOfSlots: 9, allowed: 6},
			{at: 999, shareOfSlots: 9, allowed: 9},
			{at: 1000, shareOfSlots: 9, allowed: 100},
			{at: 500, shareOfSlots: 0.04, allowed: 1},
			{at: 999, shareOfSlots: 0.04, allowed: 1},
		];
		for (const {at, shareOfSlots, allowed} of steps) {
			it(`have at most ${allowed} requests in flight at ${at} ms with ${shareOfSlots} slots a VM after a pause of 500 ms`, () => {
				const pauses = createPaused(500);
				let sent = 0;
				while (sent < 100 && !pauses.isRampUpLimited(endpoint, shareOfSlots, at)) {
					pauses.recordSent(endpoint, `r-${sent}`);
					sent += 1;
				}

				expect(sent).to.equal(allowed);
				pauses.recordEnd(endpoint, 'r-0');
				expect(pauses.isRampUpLimited(endpoint, shareOfSlots, at)).to.equal(false);
			});
		}
	});

	describe('memory', () => {
		it('is released once all requests have returned, and each end is reported once', () => {
			const pauses = createPaused(500);
			expect(pauses.removeEnded(unlisted, 499)).to.deep.equal([]);
			expect(pauses.removeEnded(unlisted, 500)).to.deep.equal([{endpoint: 'a', pausedMs: 500, isReplaced: false}]);
			expect(pauses.removeEnded(unlisted, 999)).to.deep.equal([]);
			expect(pauses.size).to.equal(1);
			expect(pauses.removeEnded(unlisted, 1000)).to.deep.equal([]);
			expect(pauses.size).to.equal(0);
		});

		it('is released when another incarnation is listed, but not while none is', () => {
			const pauses = createPaused(500);
			expect(pauses.removeEnded(unlisted, 100)).to.deep.equal([]);
			expect(pauses.isPaused(endpoint, 100)).to.equal(true);
			expect(pauses.removeEnded(() => 2, 100)).to.deep.equal([{endpoint: 'a', pausedMs: 100, isReplaced: true}]);
			expect(pauses.size).to.equal(0);
		});

		it('is bounded by the number of pauses', () => {
			const pauses = new core.fleet.PausedEndpoints({...core.fleet.defaultPauseOptions, maxPauses: 3});
			for (let number = 0; number < 10; number++) {
				pauses.pause({id: `e-${number}`, bornAt: 1}, 60_000, 0, number);
			}

			expect(pauses.size).to.equal(3);
			expect(pauses.isPaused({id: 'e-9', bornAt: 1}, 10)).to.equal(true);
		});
	});
});

describe('the time after which callers return whom only paused endpoints could serve', () => {
	const cases = [
		{first: {resumesInMs: 100, rampUpMs: 2000}, from: 100, to: 2100},
		{first: {resumesInMs: 500, rampUpMs: 500}, from: 500, to: 1000},
		{first: {resumesInMs: 60_000, rampUpMs: 2000}, from: 60_000, to: 62_000},
	];
	for (const {first, from, to} of cases) {
		it(`lies between ${from} and ${to} ms if the ramp-up begins in ${first.resumesInMs} ms and takes ${first.rampUpMs} ms`, () => {
			expect([0, 1].map(spread => core.fleet.computePauseRetryAfterMs(first, spread))).to.deep.equal([from, to]);
		});
	}
});
