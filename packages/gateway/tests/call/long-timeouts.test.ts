import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import type * as core from '@bluebellmast/core';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;

// Guards against streams that are repeated or ended as soon as they begin, since a timer of Node fires at once if its time is infinite or too long.
describe('a resumable stream', () => {
	const routes: ReadonlyArray<{readonly title: string; readonly route: Partial<core.routing.Route>}> = [
		{title: 'states no longest pause between events', route: {gapTargetMs: Infinity}},
		{title: 'states a longest pause of months', route: {gapTargetMs: 1e10}},
		{title: 'states a timeout of months', route: {timeoutMs: 1e10}},
	];
	for (const {title, route} of routes) {
		it(`stays at its endpoint while that one works, if its route ${title}`, async () => {
			const vm = new loaded.LoadedVm();
			vm.addEndpoint('a');
			const res = vm.send('r-1', route, {deadlineMs: undefined});
			await settle();
			vm.addEndpoint('b');
			const stream = vm.connections.streams[0]!;
			stream.begin();
			stream.sendEvent();
			await sleep(100);
			expect({repeats: vm.connections.listAt('b').length, isEnded: stream.isAborted || res.destroyed}).to.deep.equal({repeats: 0, isEnded: false});
			await vm.close();
		});
	}
});
