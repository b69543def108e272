import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('LapseWindow', () => {
	let lapses: core.store.LapseWindow;

	beforeEach(() => {
		lapses = new core.store.LapseWindow();
		lapses.recordResponse(0);
	});

	function fail(at: number): void {
		lapses.recordFailure(at);
	}

	it('begins with the first response after an outage and lasts for two seconds', () => {
		fail(1000);
		lapses.recordResponse(5000);
		expect(lapses.lapseAt(5000)).to.deep.equal({returnedAt: 5000, endsAt: 7000});
		lapses.recordResponse(6999);
		expect(lapses.lapseAt(6999)).to.deep.equal({returnedAt: 5000, endsAt: 7000});
		expect(lapses.lapseAt(7000)).to.equal(undefined);
	});

	it('does not begin after a wait without failures', () => {
		lapses.recordResponse(5000);
		expect(lapses.lapseAt(5000)).to.equal(undefined);
	});

	it('does not begin after an outage that is shorter than the interval between the writes of an entry', () => {
		fail(600);
		lapses.recordResponse(1199);
		expect(lapses.lapseAt(1199)).to.equal(undefined);
	});

	it('begins with the first response of all after a failed call', () => {
		const started = new core.store.LapseWindow();
		started.recordFailure(10);
		started.recordResponse(20);
		expect(started.lapseAt(20)).to.deep.equal({returnedAt: 20, endsAt: 2020});
	});

	it('has no end during the next outage, and that of this outage afterwards', () => {
		fail(1000);
		lapses.recordResponse(5000);
		fail(6000);
		expect(lapses.lapseAt(9000)).to.deep.equal({returnedAt: 5000, endsAt: Infinity});
		lapses.recordResponse(9500);
		expect(lapses.lapseAt(9500)).to.deep.equal({returnedAt: 9500, endsAt: 11_500});
	});

	it('keeps its end if a call fails in between', () => {
		fail(1000);
		lapses.recordResponse(5000);
		fail(5500);
		lapses.recordResponse(5600);
		expect(lapses.lapseAt(5600)).to.deep.equal({returnedAt: 5000, endsAt: 7000});
	});
});
