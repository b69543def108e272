import * as chai from 'chai';
import type * as core from '@bluebellmast/core';
import type * as fake from '../support/fake-connections.js';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;

// Guards against a stream that is cut since the attempt that was taken back counts as one of its route's.
describe('a stream that was taken back for the weights of its second endpoint', () => {
	let vm: loaded.LoadedVm;
	let res: fake.FakeResponse;

	beforeEach(() => {
		vm = new loaded.LoadedVm();
	});

	afterEach(async () => {
		await vm.close();
	});

	/** Sends a request to endpoint `a`, and lists the others afterwards. @returns The attempt. */
	async function start(route: Partial<core.routing.Route>, ...others: string[]): Promise<fake.FakeStream> {
		vm.addEndpoint('a');
		res = vm.send('r-1', route);
		await settle();
		for (const id of others) {
			vm.addEndpoint(id);
		}

		return vm.connections.streams[0]!;
	}

	it('is sent to a third one', async () => {
		const stream = await start({maxAttempts: 2}, 'b');
		stream.begin();
		stream.sendEvent();
		vm.removeEndpoint('a');
		stream.reset();
		await settle();
		expect(vm.connections.listAt('b').length).to.equal(1);
		vm.removeEndpoint('b');
		vm.addEndpoint('c');
		vm.placer.mustTakeBack = () => true;
		vm.dispatcher.abortOutdatedAttempts({monotonic: 0, suspendAware: 0});
		await settle();
		expect({isCut: res.destroyed, resumedAfter: vm.connections.listAt('c').map(({resumedAfter}) => resumedAfter)})
			.to.deep.equal({isCut: false, resumedAfter: [1]});
	});

	it('is sent to a third one if its connection to the second one was never open', async () => {
		const stream = await start({maxAttempts: 2}, 'b');
		stream.begin();
		stream.sendEvent();
		vm.removeEndpoint('a');
		vm.connections.unreachable.add('b');
		stream.reset();
		await settle();
		expect(vm.fleet.loads.countOwnActive('b')).to.equal(1);
		vm.removeEndpoint('b');
		vm.addEndpoint('c');
		vm.placer.mustTakeBack = () => true;
		vm.dispatcher.abortOutdatedAttempts({monotonic: 0, suspendAware: 0});
		await settle();
		expect({isCut: res.destroyed, resumedAfter: vm.connections.listAt('c').map(({resumedAfter}) => resumedAfter)})
			.to.deep.equal({isCut: false, resumedAfter: [1]});
	});

	it('is sent to a third one if the second one refuses it before', async () => {
		const stream = await start({maxAttempts: 2}, 'b');
		stream.begin();
		stream.sendEvent();
		vm.removeEndpoint('a');
		stream.reset();
		await settle();
		vm.removeEndpoint('b');
		vm.addEndpoint('c');
		vm.connections.listAt('b')[0]!.refuse();
		await settle();
		expect({isCut: res.destroyed, resumedAfter: vm.connections.listAt('c').map(({resumedAfter}) => resumedAfter)})
			.to.deep.equal({isCut: false, resumedAfter: [1]});
	});
});
