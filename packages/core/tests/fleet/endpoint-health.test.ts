import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

function never(): number {
	return -Infinity;
}

describe('EndpointHealth', () => {
	it('checks an endpoint that sends nothing after a response was due, and stops using it only if the check fails', () => {
		const health = new core.fleet.EndpointHealth();
		health.recordSent('a', 'r1', 300, 0);
		expect(health.startDueChecks(never, 799)).to.deep.equal([]);
		expect(health.startDueChecks(never, 800)).to.deep.equal(['a']);
		expect(health.isResponsive('a')).to.equal(true);
		expect(health.recordCheck('a', false, 900)).to.equal(true);
		expect(health.isResponsive('a')).to.equal(false);
	});

	it('does not check an endpoint that sends data to another VM', () => {
		const health = new core.fleet.EndpointHealth();
		health.recordSent('a', 'r1', 0, 0);
		expect(health.startDueChecks(() => 600, 1000)).to.deep.equal([]);
		expect(health.startDueChecks(() => 600, 1100)).to.deep.equal(['a']);
	});

	it('checks an unresponsive endpoint once a second until it responds', () => {
		const health = new core.fleet.EndpointHealth();
		health.recordUnresponsive('a');
		expect(health.isResponsive('a')).to.equal(false);
		expect(health.startDueChecks(never, 0)).to.deep.equal(['a']);
		health.recordCheck('a', false, 100);
		expect(health.startDueChecks(never, 1099)).to.deep.equal([]);
		expect(health.startDueChecks(never, 1100)).to.deep.equal(['a']);
		expect(health.recordCheck('a', true, 1200)).to.equal(true);
		expect(health.isResponsive('a')).to.equal(true);
		expect(health.startDueChecks(never, 5000)).to.deep.equal([]);
	});

	it('checks an endpoint after three consecutive connection failures', () => {
		const health = new core.fleet.EndpointHealth();
		health.recordConnectionFailure('a');
		health.recordConnectionFailure('a');
		health.recordOutcome('a', false);
		health.recordConnectionFailure('a');
		health.recordConnectionFailure('a');
		expect(health.startDueChecks(never, 0)).to.deep.equal([]);
		health.recordConnectionFailure('a');
		expect(health.startDueChecks(never, 0)).to.deep.equal(['a']);
	});

	it('expects no response to requests that ended', () => {
		const health = new core.fleet.EndpointHealth();
		health.recordSent('a', 'r1', 0, 0);
		health.recordEnd('a', 'r1');
		expect(health.startDueChecks(never, 10_000)).to.deep.equal([]);
	});

	it('keeps using an endpoint that sends data while a check that fails is in progress', () => {
		const health = new core.fleet.EndpointHealth();
		health.recordSent('a', 'r1', 0, 0);
		expect(health.startDueChecks(never, 500)).to.deep.equal(['a']);
		health.recordReceived('a', 'r1', 700);
		expect(health.recordCheck('a', false, 1000)).to.equal(false);
		expect(health.isResponsive('a')).to.equal(true);
	});

	// Guards against requests that are refused or moved although a server that was silent for a moment has gone on.
	describe('of an endpoint that was silent and goes on', () => {
		let health: core.fleet.EndpointHealth;

		beforeEach(() => {
			health = new core.fleet.EndpointHealth();
			health.recordSent('a', 'r1', 300, 0);
			health.startDueChecks(never, 800);
		});

		it('uses it again as soon as it sends anything', () => {
			health.recordCheck('a', false, 900);
			expect(health.recordReceived('a', 'r1', 950)).to.equal(true);
			expect(health.isResponsive('a')).to.equal(true);
			expect(health.recordReceived('a', 'r1', 960)).to.equal(false);
		});

		it('does not stop using it if it sends anything before the check has failed', () => {
			expect(health.recordReceived('a', 'r1', 850)).to.equal(false);
			expect(health.recordCheck('a', false, 900)).to.equal(false);
			expect(health.isResponsive('a')).to.equal(true);
		});

		it('stops using it if it sent something only before the check', () => {
			health.recordReceived('a', 'r1', 800);
			health.recordSent('a', 'r2', 0, 800);
			health.startDueChecks(never, 1800);
			expect(health.recordCheck('a', false, 1900)).to.equal(true);
			expect(health.isResponsive('a')).to.equal(false);
		});

		it('needs a check if nothing listens at its address', () => {
			health.recordUnresponsive('a');
			expect(health.recordReceived('a', 'r1', 950)).to.equal(false);
			expect(health.isResponsive('a')).to.equal(false);
		});
	});

	// Guards against an endpoint that gets no requests since this VM did not read what it sent.
	it('does not check an endpoint for a time in which the event loop of the VM was blocked', () => {
		const health = new core.fleet.EndpointHealth();
		health.recordSent('a', 'r1', 300, 0);
		health.recordBlocked(1000, 1200);
		expect(health.startDueChecks(never, 1200)).to.deep.equal([]);
		expect(health.startDueChecks(never, 1699)).to.deep.equal([]);
		expect(health.startDueChecks(never, 1700)).to.deep.equal(['a']);
	});
});
