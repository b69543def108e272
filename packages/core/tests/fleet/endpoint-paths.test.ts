import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
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

	it('suspects a path when a response is overdue for 250 ms and nothing has come', () => {
		paths.recordSent(first, 'a-1', 1100);
		expect(paths.startDueChecks(ends, 1349)).to.deep.equal([]);
		expect(paths.startDueChecks(ends, 1350)).to.deep.equal(['e-1']);
		expect(paths.silentSince('e-1', 1350)).to.equal(1100);
	});

	it('does not suspect a path over which the responses to other requests come', () => {
		paths.recordSent(first, 'a-1', 1100);
		paths.recordReceived(first, 'a-2', 1300);
		expect(paths.startDueChecks(ends, 1549)).to.deep.equal([]);
	});

	it('does not count the time for which the event loop was blocked', () => {
		paths.recordSent(first, 'a-1', 1100);
		paths.recordBlocked(1000, 2200);
		expect(paths.startDueChecks(ends, 2349)).to.deep.equal([]);
		expect(paths.startDueChecks(ends, 2350)).to.deep.equal(['e-1']);
	});

	it('suspects a path at once when a connection has failed, until data arrives', () => {
		paths.recordFailure(first, 1100);
		expect(paths.startDueChecks(ends, 1100)).to.deep.equal(['e-1']);
		paths.recordReceived(first, 'a-1', 1200);
		expect(paths.startDueChecks(ends, 9000)).to.deep.equal([]);
	});

	it('takes a path for interrupted when a check fails and another VM reaches the endpoint, until a check succeeds', () => {
		paths.recordFailure(first, 1100);
		paths.startDueChecks(ends, 1100);
		expect(paths.recordCheck(first, false, true, 1200)).to.equal(true);
		expect(paths.isInterrupted('e-1')).to.equal(true);
		expect(paths.recordCheck(first, false, false, 1700)).to.equal(false);
		expect(paths.isInterrupted('e-1')).to.equal(true);
		expect(paths.recordCheck(first, true, true, 2200)).to.equal(true);
		expect(paths.isInterrupted('e-1')).to.equal(false);
	});

	it('tells since when nothing had come before an interruption, though open connections deliver afterwards', () => {
		paths.recordFailure(first, 1100);
		paths.recordCheck(first, false, true, 1200);
		paths.recordReceived(first, 'a-1', 1300);
		expect(paths.silentSince('e-1', 1400)).to.equal(1100);
		expect(paths.recordCheck(first, false, false, 1700)).to.equal(false);
		expect(paths.silentSince('e-1', 1800)).to.equal(1100);
	});

	it('does not take a path for interrupted whose endpoint is down for all, and checks it again soon', () => {
		paths.recordFailure(first, 1100);
		paths.startDueChecks(ends, 1100);
		expect(paths.recordCheck(first, false, false, 1150)).to.equal(false);
		expect(paths.isInterrupted('e-1')).to.equal(false);
		expect(paths.startDueChecks(ends, 1299)).to.deep.equal([]);
		expect(paths.startDueChecks(ends, 1300)).to.deep.equal(['e-1']);
	});

	it('has the other paths checked when one is interrupted, but for those over which data has come since', () => {
		paths.recordFailure(first, 1100);
		paths.startDueChecks(ends, 1100);
		paths.recordCheck(first, false, true, 1200);
		paths.recordReceived(second, 'a-1', 1210);
		expect(paths.startDueChecks(ends, 1250)).to.deep.equal(['e-3']);
		expect(paths.startDueChecks(ends, 1300)).to.deep.equal([]);
		expect(paths.startDueChecks(ends, 1600)).to.deep.equal(['e-1']);
	});

	it('tells of the pools from which data arrived lately', () => {
		expect(paths.listReachedPools(2500)).to.deep.equal([{pool: 'p', ageMs: 1500}]);
		expect(paths.listReachedPools(2501)).to.deep.equal([]);
	});

	it('forgets endpoints that are no longer listed', () => {
		paths.recordCheck(first, false, true, 1200);
		paths.retain(new Set(['e-2']));
		expect(paths.isInterrupted('e-1')).to.equal(false);
	});
});
