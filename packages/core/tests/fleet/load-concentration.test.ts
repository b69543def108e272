import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const vms = 7;
const engines = ['a', 'b', 'c', 'd', 'e'];
const prompt: core.fleet.PlacementRequirements = {dataCentre: 'dc-a', parts: [{id: 'own', tokens: 3000}], sharedParts: 0};

/** Places one prompt on each VM while one engine is idle and the others are busy; returns how many were sent to the idle engine. */
function countSentToIdleEngine(exchangesDigests: boolean): number {
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
	const sendDigest = (vm: number, sequence: number): void => {
		for (const [other, view] of views.entries()) {
			if (other !== vm) {
				view.peers.applyDigest(digestOf(vm, sequence), 0);
			}
		}
	};

	if (exchangesDigests) {
		for (const vm of views.keys()) {
			sendDigest(vm, 1);
		}
	}

	let sentToIdle = 0;
	for (const [vm, view] of views.entries()) {
		const choice = core.fleet.chooseEndpoint(engines.map(id => support.createCandidate(id)), prompt, view, 0)!;
		const {id} = choice.candidate.entry;
		view.loads.addRequest(id, `r-${vm}`, choice.prefillTokens);
		sentToIdle += id === 'a' ? 1 : 0;
		if (exchangesDigests) {
			sendDigest(vm, 2);
		}
	}

	return sentToIdle;
}

// An engine that finishes loading weights has no requests, so every VM chooses it at the same time.
describe('placement of prompts by several VMs when one engine is idle', () => {
	it('sends prompts to the idle engine only until it is as loaded as the others when VMs exchange digests', () => {
		expect(countSentToIdleEngine(true)).to.equal(3);
	});

	it('sends all prompts to the idle engine when VMs exchange no digests', () => {
		expect(countSentToIdleEngine(false)).to.equal(vms);
	});
});
