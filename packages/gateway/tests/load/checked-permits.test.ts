import * as chai from 'chai';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;
const endpoint = {id: 'b', bornAt: 1};
/** Requests that this VM may have in flight at an endpoint in the first step of its ramp-up. */
const maxInRampUp = 7;

/** Waits until the queue has looked for capacity some times. */
async function waitForQueue(ms = 300): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}

// Guards against permits that are checked and only later counted.
describe('permits that many requests look at', () => {
	let vm: loaded.LoadedVm;

	beforeEach(() => {
		vm = new loaded.LoadedVm();
	});

	afterEach(async () => {
		await vm.close();
	});

	/** Brings endpoint `b` to the first step of its ramp-up at 4000 ms, with as many requests as it may have. */
	async function fillRampUp(): Promise<void> {
		vm.clock.now = 3000;
		vm.pauses.record(endpoint, 1000);
		vm.clock.now = 4000;
		vm.addEndpoint('b');
		for (let number = 0; number < maxInRampUp; number++) {
			vm.send(`full-${number}`);
			await settle(); // eslint-disable-line no-await-in-loop -- Requests arrive one after another.
		}

		expect(vm.connections.listAt('b').length).to.equal(maxInRampUp);
	}

	it('are not exceeded by requests that wait for an endpoint in its ramp-up', async () => {
		await fillRampUp();
		for (let number = 0; number < 5; number++) {
			vm.send(`wait-${number}`);
		}

		await waitForQueue(100);
		expect(vm.connections.listAt('b').length).to.equal(maxInRampUp);
		const [first] = vm.connections.listAt('b');
		first!.begin();
		first!.sendEvent();
		first!.end();
		await waitForQueue(100);
		expect(vm.connections.listAt('b').length - 1).to.equal(maxInRampUp);
	});
});
