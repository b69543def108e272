import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as support from '../support/limited-fleet.js';

const {expect} = chai;
/** Overload, in callers' requests a second for each request that the endpoints take. */
const overload = 3;
const minUsedShare = 0.9;

/** Returns the number of requests that an endpoint may get in 4 s from all VMs. */
function getBound(requestsPerSecond: number): number {
	return (1.5 * 4 * requestsPerSecond) + 5;
}

function run(scenario: Omit<support.LimitedFleetScenario, 'load' | 'seed'> & {readonly load?: number; readonly seed?: number}): support.LimitedFleetResult {
	const {requestsPerSecond, endpoints} = scenario;
	return new support.LimitedFleet({load: overload * requestsPerSecond * endpoints, seed: 1, ...scenario}).run();
}

// Incident LIMIT: each VM sent as if it were alone, so that an endpoint got several times the requests that it had stated it takes.
describe('endpoints that state a limit, before a fleet under overload', () => {
	for (const vms of [7, 20, 66, 195, 420]) {
		for (const requestsPerSecond of [0.3, 1, 4.3, 50]) {
			const endpoints = Math.max(1, Math.floor(Math.min(vms, 66) / 3));
			it(`get no more than they may: ${vms} VMs, ${endpoints} endpoints that take ${requestsPerSecond} a second`, () => {
				expect(run({
					vms, endpoints, requestsPerSecond, load: Math.min(1500, overload * requestsPerSecond * endpoints),
				}).maxInWindow)
					.to.be.at.most(getBound(requestsPerSecond));
			}).timeout(120_000);
		}
	}

	for (const vms of [7, 195, 420]) {
		it(`get no more than they may after all ${vms} VMs were idle, or restart at once`, () => {
			for (const requestsPerSecond of [0.3, 4.3]) {
				const scenario = {
					vms, endpoints: 2, requestsPerSecond, load: 500,
				};
				expect(run({...scenario, quiet: {from: 2000, until: 12_000}}).maxInWindow, 'idle').to.be.at.most(getBound(requestsPerSecond));
				expect(run({...scenario, faults: {restartAllAt: 10_000}}).maxInWindow, 'restarted').to.be.at.most(getBound(requestsPerSecond));
			}
		}).timeout(120_000);
	}

	it('get nearly all that they take', () => {
		for (const [vms, endpoints, requestsPerSecond] of [[6, 3, 3.1], [20, 20, 4.3], [195, 20, 4.3], [195, 1, 4.3]] as const) {
			const {usedShare} = run({
				vms, endpoints, requestsPerSecond, load: 20 * vms,
			});
			expect(usedShare, `${vms} VMs`).to.be.within(minUsedShare, 1.02);
		}
	}).timeout(120_000);

	it('get nearly all that they take if callers of all 195 VMs need the only endpoint', () => {
		const {usedShare} = run({
			vms: 195, endpoints: 1, requestsPerSecond: 4.3, load: 2 * 4.3,
		});
		expect(usedShare).to.be.at.least(minUsedShare);
	});

	// The test of the simulation itself.
	it('get more than they may if each of 195 VMs has a share', () => {
		expect(run({
			vms: 420, endpoints: 1, requestsPerSecond: 20, load: 4000, quiet: {from: 2000, until: 16_000}, countHolders: (_, vmCount) => vmCount,
		}).maxInWindow).to.be.greaterThan(getBound(20));
	});

	it('get no more than they may whatever happens to VMs and their messages', () => {
		fastCheck.assert(fastCheck.property(fastCheck.record({
			vms: fastCheck.integer({min: 2, max: 40}),
			requestsPerSecond: fastCheck.double({min: 0.3, max: 12, noNaN: true}),
			seed: fastCheck.integer({min: 1, max: 1_000_000}),
			faults: fastCheck.record({
				digestLoss: fastCheck.double({min: 0, max: 1, noNaN: true}),
				digestDelayMs: fastCheck.integer({min: 1, max: 3000}),
				stopIntervalMs: fastCheck.integer({min: 500, max: 20_000}),
				lateShare: fastCheck.double({min: 0, max: 1, noNaN: true}),
			}),
		}), scenario => run({...scenario, endpoints: 2, load: 200}).maxInWindow <= getBound(scenario.requestsPerSecond)), {numRuns: 60, seed: 45});
	}).timeout(120_000);
});
