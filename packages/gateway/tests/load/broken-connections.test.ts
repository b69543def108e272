import * as chai from 'chai';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {maxRetries, settle} = loaded;

// Guards against BUDGET: requests whose connections broke together all looked at the same retry budget before any of them counted.
describe('many streams whose connections break at the same moment', () => {
	let vm: loaded.LoadedVm;

	beforeEach(async () => {
		vm = new loaded.LoadedVm();
		await vm.begin();
	});

	afterEach(async () => {
		await vm.close();
	});

	it('are sent again within the retry budget', async () => {
		const streams = vm.connections.listAt('a');
		for (const stream of streams) {
			stream.reset();
		}

		await settle();
		expect(vm.connections.listAt('b').length).to.equal(maxRetries);
		expect(vm.responses.filter(res => res.destroyed).length).to.equal(streams.length - maxRetries);
	});

	it('leave the retries in the budget that no endpoint can take', async () => {
		vm.removeEndpoint('a');
		vm.removeEndpoint('b');
		const [first, ...others] = vm.connections.listAt('a');
		for (const stream of others) {
			stream.reset();
		}

		await settle();
		expect(vm.connections.listAt('b')).to.deep.equal([]);
		vm.addEndpoint('b');
		first!.reset();
		await settle();
		expect(vm.connections.listAt('b').length).to.equal(1);
	});
});
