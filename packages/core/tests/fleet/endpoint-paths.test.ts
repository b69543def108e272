import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const {ConnectOutcome: outcomes} = core.fleet;
const ends: readonly core.fleet.PathEnd[] = ['e-1', 'e-2', 'e-3'].map(id => ({id, pool: 'p'}));
const [first, second] = ends as [core.fleet.PathEnd, core.fleet.PathEnd];

describe('EndpointPaths', () => {
	let paths: core.fleet.EndpointPaths;

	beforeEach(() => {
		paths = new core.fleet.EndpointPaths();
		paths.recordReceived(first, 'a-0', 1000);
	});

	it('suspects no path over which nothing is due', () => {
		expect(paths.startDueChecks(ends, 60_000)).to.deep.equal([]);
		expect(paths.silentSince('e-1', 60_000)).to.equal(undefined);
	});

	it('suspects a path when a response is overdue for 200 ms and nothing has come', () => {
		paths.recordSent(first, 'a-1', 1100);
		expect(paths.startDueChecks(ends, 1299)).to.deep.equal([]);
		expect(paths.startDueChecks(ends, 1300)).to.deep.equal(['e-1']);
		expect(paths.silentSince('e-1', 1300)).to.equal(1100);
	});

	it('does not suspect a path over which the responses to other requests come', () => {
		paths.recordSent(first, 'a-1', 1100);
		paths.recordReceived(first, 'a-2', 1300);
		expect(paths.startDueChecks(ends, 1499)).to.deep.equal([]);
	});

	it('does not count the time for which the event loop was blocked', () => {
		paths.recordSent(first, 'a-1', 1100);
		paths.recordBlocked(1000, 2200);
		expect(paths.startDueChecks(ends, 2299)).to.deep.equal([]);
		expect(paths.startDueChecks(ends, 2300)).to.deep.equal(['e-1']);
	});

	it('suspects a path at once when a connection has failed, until data arrives', () => {
		paths.recordFailure(first, 1100);
		expect(paths.startDueChecks(ends, 1100)).to.deep.equal(['e-1']);
		paths.recordReceived(first, 'a-1', 1200);
		expect(paths.startDueChecks(ends, 9000)).to.deep.equal([]);
	});

	/** Interrupts the path to an endpoint. */
	function interrupt(end: core.fleet.PathEnd, now: number): void {
		paths.recordFailure(end, now - 100);
		paths.startDueChecks(ends, now - 100);
		paths.recordCheck(end, outcomes.TimedOut, now);
		paths.startConfirmation(end.id, now);
		paths.recordConfirmation(end.id, now);
	}

	it('takes a path for interrupted when a check fails and another VM reaches the endpoint, until a check succeeds', () => {
		paths.recordFailure(first, 1100);
		paths.startDueChecks(ends, 1100);
		expect(paths.recordConfirmation('e-1', 1150)).to.equal(false);
		expect(paths.recordCheck(first, outcomes.TimedOut, 1200)).to.equal(false);
		expect(paths.isInterrupted('e-1')).to.equal(false);
		expect(paths.listUnconfirmed(ends, 1200)).to.deep.equal(['e-1']);
		expect(paths.recordConfirmation('e-1', 1210)).to.equal(true);
		expect(paths.isInterrupted('e-1')).to.equal(true);
		expect(paths.listUnconfirmed(ends, 1210)).to.deep.equal([]);
		expect(paths.recordCheck(first, outcomes.TimedOut, 1700)).to.equal(false);
		expect(paths.isInterrupted('e-1')).to.equal(true);
		expect(paths.recordCheck(first, outcomes.Open, 2200)).to.equal(true);
		expect(paths.isInterrupted('e-1')).to.equal(false);
	});

	it('keeps the time since when nothing had come before an interruption, though open connections deliver afterwards', () => {
		interrupt(first, 1200);
		paths.recordReceived(first, 'a-1', 1300);
		expect(paths.silentSince('e-1', 1400)).to.equal(1100);
		paths.recordCheck(first, outcomes.TimedOut, 1700);
		expect(paths.silentSince('e-1', 1800)).to.equal(1100);
	});

	it('asks two other VMs about an endpoint after each failed check, until it sends data', () => {
		paths.recordFailure(first, 1100);
		paths.recordCheck(first, outcomes.TimedOut, 1200);
		paths.startConfirmation('e-1', 1200);
		expect(paths.listUnconfirmed(ends, 1499)).to.deep.equal([]);
		expect(paths.listUnconfirmed(ends, 1500)).to.deep.equal(['e-1']);
		paths.startConfirmation('e-1', 1500);
		expect(paths.listUnconfirmed(ends, 5000)).to.deep.equal([]);
		paths.recordCheck(first, outcomes.TimedOut, 5000);
		expect(paths.listUnconfirmed(ends, 5000)).to.deep.equal(['e-1']);
		paths.recordReceived(first, 'a-1', 5100);
		expect(paths.listUnconfirmed(ends, 5100)).to.deep.equal([]);
	});

	it('has the other paths checked when one is interrupted, but for those over which data has come since', () => {
		interrupt(first, 1200);
		paths.recordReceived(second, 'a-1', 1210);
		expect(paths.startDueChecks(ends, 1250)).to.deep.equal(['e-3']);
		expect(paths.startDueChecks(ends, 1300)).to.deep.equal([]);
		expect(paths.startDueChecks(ends, 1600)).to.deep.equal(['e-1']);
	});

	it('has the other paths checked when checks of two have failed', () => {
		for (const end of [first, second]) {
			paths.recordFailure(end, 1100);
		}

		expect(paths.startDueChecks(ends, 1100)).to.deep.equal(['e-1', 'e-2']);
		paths.recordCheck(first, outcomes.TimedOut, 1200);
		expect(paths.startDueChecks(ends, 1250)).to.deep.equal([]);
		paths.recordCheck(second, outcomes.TimedOut, 1300);
		expect(paths.startDueChecks(ends, 1350)).to.deep.equal(['e-1', 'e-2', 'e-3']);
	});

	it('lists the pools from which data arrived lately', () => {
		expect(paths.listReachedPools(2500)).to.deep.equal([{pool: 'p', ageMs: 1500}]);
		expect(paths.listReachedPools(2501)).to.deep.equal([]);
	});

	it('forgets endpoints that are no longer listed', () => {
		interrupt(first, 1200);
		paths.retain(new Set(['e-2']));
		expect(paths.isInterrupted('e-1')).to.equal(false);
	});
});
