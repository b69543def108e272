import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;

// Guards against a repeat, or the end, of each stream as soon as it begins, if its route states no longest pause between events.
describe('a resumable stream whose route states no longest pause between events', () => {
	it('is not sent to a second endpoint while its own one works', async () => {
		const vm = new loaded.LoadedVm();
		vm.addEndpoint('a');
		vm.send('r-1', {gapTargetMs: Infinity});
		await settle();
		vm.addEndpoint('b');
		const stream = vm.connections.streams[0]!;
		stream.begin();
		stream.sendEvent();
		await sleep(50);
		expect(vm.connections.listAt('b').length).to.equal(0);
		await vm.close();
	});
});
