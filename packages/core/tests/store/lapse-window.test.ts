import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('LapseWindow', () => {
	let lapses: core.store.LapseWindow;

	beforeEach(() => {
		lapses = new core.store.LapseWindow();
		respond(0);
	});

	/** Records a response on a VM that is not suspended. */
	function respond(at: number): void {
		lapses.recordResponse({monotonic: at, suspendAware: at});
	}

	/** Records the failure of a call, which began at that time unless another one is given. */
	function fail(at: number, startedAt = at): void {
		lapses.recordFailure(startedAt, at);
	}

	it('begins with the first response after an outage and lasts for two seconds, less the time that a request takes', () => {
		fail(4900);
		respond(5000);
		expect(lapses.lapseAt(5000)).to.deep.equal({beginsAt: 2100, returnedAt: 5000, endsAt: 6950});
		respond(6949);
		expect(lapses.lapseAt(6949)).to.deep.equal({beginsAt: 2100, returnedAt: 5000, endsAt: 6950});
		expect(lapses.lapseAt(6950)).to.equal(undefined);
	});

	it('begins after a suspension of the VM, in which there may have been an outage', () => {
		lapses.recordResponse({monotonic: 1000, suspendAware: 5000}, 4000);
		expect(lapses.lapseAt(5000)).to.deep.equal({beginsAt: 2100, returnedAt: 5000, endsAt: 6950});
	});

	it('does not begin after a wait without failures', () => {
		respond(5000);
		expect(lapses.lapseAt(5000)).to.equal(undefined);
	});

	it('does not begin after an outage that is shorter than the interval between the writes of an entry', () => {
		fail(600);
		respond(1199);
		expect(lapses.lapseAt(1199)).to.equal(undefined);
	});

	it('begins with the first response of all after a failed call', () => {
		const started = new core.store.LapseWindow();
		started.recordFailure(5, 10);
		started.recordResponse({monotonic: 20, suspendAware: 20});
		expect(started.lapseAt(20)).to.deep.equal({beginsAt: -Infinity, returnedAt: 20, endsAt: 1970});
	});

	it('has no end during the next outage, and that of this outage afterwards', () => {
		fail(4900);
		respond(5000);
		fail(6000);
		fail(9000);
		expect(lapses.lapseAt(9000)).to.deep.equal({beginsAt: 2100, returnedAt: 5000, endsAt: Infinity});
		respond(9500);
		expect(lapses.lapseAt(9500)).to.deep.equal({beginsAt: 2100, returnedAt: 9500, endsAt: 11_450});
	});

	it('keeps its end if a call fails in between', () => {
		fail(4900);
		respond(5000);
		fail(5500);
		respond(5600);
		expect(lapses.lapseAt(5600)).to.deep.equal({beginsAt: 2100, returnedAt: 5000, endsAt: 6950});
	});

	it('ends earlier if the return may have been long before it was noticed', () => {
		fail(1700, 0);
		respond(1810);
		expect(lapses.lapseAt(2100)).to.deep.equal({beginsAt: 2100, returnedAt: 1810, endsAt: 2950});
	});

	it('does not end earlier for a time in which the VM was suspended', () => {
		fail(100);
		lapses.recordResponse({monotonic: 200, suspendAware: 5000});
		expect(lapses.lapseAt(5000)).to.deep.equal({beginsAt: 2100, returnedAt: 5000, endsAt: 6950});
	});

	it('begins only when the oldest entry can have expired', () => {
		fail(1700);
		respond(1810);
		expect(lapses.lapseAt(1810)).to.equal(undefined);
		respond(2100);
		expect(lapses.lapseAt(2100)).to.deep.equal({beginsAt: 2100, returnedAt: 1810, endsAt: 3760});
	});

	it('begins earlier after outages in a row, between which endpoints had no time to write their entries', () => {
		fail(500);
		respond(900);
		fail(2200);
		respond(2300);
		expect(lapses.lapseAt(2300)).to.deep.equal({beginsAt: 2100, returnedAt: 2300, endsAt: 4250});
	});
});
