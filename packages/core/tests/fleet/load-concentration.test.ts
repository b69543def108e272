import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const vms = 7;
const engines = ['a', 'b', 'c', 'd', 'e'];
const prompt: core.fleet.PlacementRequirements = {dataCentre: 'dc-a', parts: [{id: 'own', tokens: 3000}], sharedParts: 0};

/** Sends one prompt from each VM while one engine is free and the others are busy; returns how many went to the free one. */
function sendFromAll(exchangesDigests: boolean): number {
	const views = Array.from({length: vms}, () => support.createView());
	for (const [vm, view] of views.entries()) {
		for (const engine of engines.slice(1)) {
			view.loads.addRequest(engine, `busy-${vm}-${engine}`, 700);
		}
	}

	const digestOf = (vm: number, sequence: number): core.fleet.LoadDigest => ({
		vm: `vm-${vm}`,
		sequence,
		endpoints: views[vm]!.loads.listBusyEndpoints().map(endpoint => ({
			endpoint,
			active: views[vm]!.loads.countOwnActive(endpoint),
			prefillTokens: views[vm]!.loads.countPrefillTokens(endpoint),
		})),
		cacheObservations: [],
	});
	const tellOthers = (vm: number, sequence: number): void => {
		for (const [other, view] of views.entries()) {
			if (other !== vm) {
				view.peers.applyDigest(digestOf(vm, sequence), 0);
			}
		}
	};

	if (exchangesDigests) {
		for (const vm of views.keys()) {
			tellOthers(vm, 1);
		}
	}

	let toFree = 0;
	for (const [vm, view] of views.entries()) {
		const choice = core.fleet.chooseEndpoint(engines.map(id => support.createCandidate(id)), prompt, view, 0)!;
		const {id} = choice.candidate.entry;
		view.loads.addRequest(id, `r-${vm}`, choice.prefillTokens);
		toFree += id === 'a' ? 1 : 0;
		if (exchangesDigests) {
			tellOthers(vm, 2);
		}
	}

	return toFree;
}

// Pattern: an engine comes back from loading weights without any request, and every VM finds it the best choice.
describe('a herd on a free engine', () => {
	it('is avoided by digests: the free engine gets two prompts more than the others, until all are alike busy', () => {
		expect(sendFromAll(true)).to.equal(3);
	});

	it('arises without them', () => {
		expect(sendFromAll(false)).to.equal(vms);
	});
});
