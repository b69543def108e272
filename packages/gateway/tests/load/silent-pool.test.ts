import * as chai from 'chai';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;
const maxInRampUp = 7;

// Guards against refusals of all waiting requests when the only endpoint of their pool is silent for a moment.
describe('requests that wait while their only endpoint is judged unresponsive', () => {
	it('go on to wait until it responds again', async () => {
		const vm = new loaded.LoadedVm();
		vm.clock.now = 3000;
		vm.pauses.record({id: 'b', bornAt: 1}, 1000);
		vm.clock.now = 4000;
		vm.addEndpoint('b');
		for (let number = 0; number < maxInRampUp; number++) {
			vm.send(`full-${number}`);
			await settle(); // eslint-disable-line no-await-in-loop -- Requests arrive one after another.
		}

		for (let number = 0; number < 5; number++) {
			vm.send(`wait-${number}`);
		}

		const refusals: unknown[] = [];
		async function collect(ended: Promise<unknown>): Promise<void> {
			refusals.push(await ended);
		}

		const collected = vm.ended.map(async ended => collect(ended));
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
		expect(refusals).to.deep.equal([]);
		vm.fleet.health.recordCheck('b', false, 4000);
		await new Promise(resolve => {
			setTimeout(resolve, 100);
		});
		const refusedCount = refusals.length;
		vm.fleet.health.recordCheck('b', true, 4100);
		await vm.close();
		await Promise.all(collected);
		expect(refusedCount).to.equal(0);
	});
});
