import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const blockedMs = 1200;
const expectedMs = 200;
const requestsPerEndpoint = 8;
const checkIntervalMs = 100;

/** Plays a block of the event loop while each endpoint works on requests. @returns The number of endpoints that are checked afterwards. */
function countChecks(endpointCount: number, isReported: boolean): number {
	const health = new core.fleet.EndpointHealth();
	for (let endpoint = 0; endpoint < endpointCount; endpoint++) {
		for (let request = 0; request < requestsPerEndpoint; request++) {
			health.recordSent(`e-${endpoint}`, `r-${endpoint}-${request}`, expectedMs, request);
		}
	}

	const unblockedAt = requestsPerEndpoint + blockedMs;
	if (isReported) {
		health.recordBlocked(blockedMs, unblockedAt);
	}

	// All endpoints respond within 300 ms after the block, as the requests reached them only then.
	const checked = new Set<string>();
	for (let now = unblockedAt; now <= unblockedAt + 300; now += checkIntervalMs) {
		for (const endpoint of health.startDueChecks(() => -Infinity, now)) {
			checked.add(endpoint);
		}
	}

	return checked.size;
}

// Guards against checks of all endpoints at once, and requests that are sent twice or refused, since the VM read nothing for a time.
describe('load with an event loop that was blocked', () => {
	for (const endpointCount of [4, 22, 65, 140]) {
		it(`checks none of ${endpointCount} endpoints that respond after the block`, () => {
			expect(countChecks(endpointCount, true)).to.equal(0);
			expect(countChecks(endpointCount, false)).to.equal(endpointCount);
		});
	}
});
