import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const endpoints = ['a', 'b', 'c'];

/** Sums the latest digests of all VMs at each query. */
class PlainSums {
	readonly #digests = new Map<string, {readonly digest: core.fleet.LoadDigest; readonly receivedAt: number}>();
	#lifetimeMs = 1500;

	applyDigest(digest: core.fleet.LoadDigest, now: number): void {
		const last = this.#digests.get(digest.vm);
		if (last === undefined || last.digest.sequence < digest.sequence) {
			this.#digests.set(digest.vm, {digest, receivedAt: now});
		}
	}

	retain(vms: ReadonlySet<string>): void {
		this.#lifetimeMs = Math.max(1500, vms.size * 100);
		for (const vm of this.#digests.keys()) {
			if (!vms.has(vm)) {
				this.#digests.delete(vm);
			}
		}
	}

	countActive(endpoint: string, now: number): number {
		return [...this.#digests.values()]
			.filter(({receivedAt}) => now - receivedAt <= this.#lifetimeMs)
			.flatMap(({digest}) => digest.endpoints.filter(entry => entry.endpoint === endpoint))
			.reduce((sum, entry) => sum + entry.active, 0);
	}
}

const vmNumber = fc.integer({min: 0, max: 24});
const load = fc.record({endpoint: fc.constantFrom(...endpoints), active: fc.integer({min: 0, max: 9})});
const step = fc.oneof(
	{weight: 8, arbitrary: fc.record({vm: vmNumber, sequence: fc.integer({min: 1, max: 40}), loads: fc.uniqueArray(load, {selector: item => item.endpoint})})},
	{weight: 1, arbitrary: fc.record({members: fc.uniqueArray(vmNumber, {maxLength: 25})})},
	{weight: 3, arbitrary: fc.record({passedMs: fc.integer({min: 1, max: 1500})})},
);

describe('load of a large fleet by its digests', () => {
	it('is the sum of the latest digests, whichever are lost, doubled, late or of VMs that left', () => {
		fc.assert(fc.property(fc.array(step, {maxLength: 120}), steps => {
			const loads = new core.fleet.PeerLoads();
			const sums = new PlainSums();
			let now = 0;
			for (const each of steps) {
				if ('passedMs' in each) {
					now += each.passedMs;
				} else if ('members' in each) {
					const members = new Set(each.members.map(vm => `vm-${vm}`));
					loads.retain(members);
					sums.retain(members);
				} else {
					const digest: core.fleet.LoadDigest = {
						vm: `vm-${each.vm}`,
						sequence: each.sequence,
						endpoints: each.loads.map(({endpoint, active}) => ({endpoint, active, prefillTokens: active * 100})),
						cacheObservations: [],
					};
					loads.applyDigest(digest, now);
					sums.applyDigest(digest, now);
				}

				for (const endpoint of endpoints) {
					expect(loads.countActive(endpoint, now)).to.equal(sums.countActive(endpoint, now));
					expect(loads.countPrefillTokens(endpoint, now)).to.equal(100 * sums.countActive(endpoint, now));
				}
			}
		}), {seed: 20_261_204, numRuns: 300});
	});

	// A placement asks for the load of each engine, so a look at each VM for each engine would grow with the product of both.
	it('is counted without a look at the digests', () => {
		let looks = 0;
		const entry: core.fleet.EndpointDigest = {
			endpoint: 'a',
			get active() {
				looks += 1;
				return 1;
			},
			prefillTokens: 0,
		};
		const loads = new core.fleet.PeerLoads();
		for (let vm = 0; vm < 200; vm++) {
			loads.applyDigest({
				vm: `vm-${vm}`, sequence: 1, endpoints: [entry], cacheObservations: [],
			}, 0);
		}

		looks = 0;
		expect(loads.countActive('a', 100)).to.equal(200);
		expect(looks).to.equal(0);
	});
});
