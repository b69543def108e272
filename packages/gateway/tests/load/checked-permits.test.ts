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

	it('are not exceeded by requests that are taken back together from an endpoint that asks for a pause', async () => {
		vm.connections.unreachable.add('a');
		vm.addEndpoint('a');
		for (let number = 0; number < 20; number++) {
			vm.send(`r-${number}`);
			await settle(); // eslint-disable-line no-await-in-loop -- Requests arrive one after another.
		}

		vm.clock.now = 3000;
		vm.pauses.record(endpoint, 1000);
		vm.clock.now = 4000;
		vm.addEndpoint('b');
		vm.pauses.record({id: 'a', bornAt: 1}, 5000);
		vm.dispatcher.abortPausedAttempts();
		await settle();
		expect(vm.connections.listAt('b').length).to.be.at.most(maxInRampUp);
	});

	it('are counted in the retry window at the time at which a request is sent again, not when that was decided', async () => {
		vm.addEndpoint('a');
		for (let number = 0; number < 60; number++) {
			vm.send(`r-${number}`, {maxAttempts: 10});
			await settle(); // eslint-disable-line no-await-in-loop -- Requests arrive one after another.
		}

		for (const stream of vm.connections.listAt('a')) {
			stream.begin();
			stream.sendEvent();
		}

		vm.removeEndpoint('a');
		await fillRampUp();
		vm.clock.now = 4100;
		for (const stream of vm.connections.listAt('a')) {
			stream.reset();
		}

		// The ramp-up is over in the next half of the window of 10 s.
		await settle();
		vm.clock.now = 5050;
		await waitForQueue(600);
		const retries = vm.connections.listAt('b').slice(maxInRampUp);
		expect(retries.length).to.be.within(12, 14);
		vm.clock.now = 15_000;
		for (const stream of retries) {
			stream.reset();
		}

		await waitForQueue(600);
		// The budget without requests is 0.8 * 54 / 7 = 6, which the retries of the last 9950 ms exceed.
		expect(vm.connections.listAt('b').length - maxInRampUp - retries.length).to.equal(0);
	}).timeout(5000);
});
