import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;
/** Requests that an endpoint takes at the start of its ramp-up after a pause. */
const slotsInRampUp = 7;

// Guards against a 502 at the end of the grace period for a request that has not run, as its only attempt was refused.
describe('a request that an endpoint has refused', () => {
	it('does not count as sent while it waits for another one', async () => {
		const vm = new loaded.LoadedVm();
		vm.clock.now = 3000;
		vm.pauses.record({id: 'a', bornAt: 1}, 1000);
		vm.clock.now = 4000;
		vm.addEndpoint('a');
		for (let number = 0; number < slotsInRampUp; number++) {
			vm.send(`full-${number}`);
			await settle(); // eslint-disable-line no-await-in-loop -- Requests arrive one after another.
		}

		vm.addEndpoint('b');
		vm.send('refused', {kind: core.routing.RouteKind.Unsafe, isResumable: false});
		await settle();
		const request = vm.lastAuthorized!;
		expect(request.isSent).to.equal(true);
		vm.connections.listAt('b')[0]!.refuse();
		vm.removeEndpoint('b');
		await settle();
		expect({id: request.head.requestId, isSent: request.isSent}).to.deep.equal({id: 'refused', isSent: false});
		await vm.close();
	});
});
