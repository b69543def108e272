import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import type * as core from '@bluebellmast/core';
import type * as fake from '../support/fake-connections.js';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;

/** Waits until a condition holds, for at most `maxMs` milliseconds. */
async function waitFor(condition: () => boolean, maxMs: number): Promise<void> {
	const endsAt = Date.now() + maxMs;
	while (!condition() && Date.now() < endsAt) {
		await sleep(20); // eslint-disable-line no-await-in-loop -- Checks follow one another.
	}
}

// Guards against a response that is cut because the endpoints that could continue it are silent, paused or full for a moment.
describe('a request whose response has begun', () => {
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

	it('waits for the only other endpoint, which is silent for a moment, when its own breaks off', async () => {
		const stream = await start({}, 'b');
		stream.begin();
		stream.sendEvent();
		vm.fleet.health.recordCheck('b', false, 0);
		vm.removeEndpoint('a');
		stream.reset();
		await settle();
		const isCut = res.destroyed;
		vm.fleet.health.recordCheck('b', true, 500);
		await waitFor(() => vm.connections.listAt('b').length === 1, 500);
		expect({isCut, resumedAfter: vm.connections.listAt('b').map(({resumedAfter}) => resumedAfter)}).to.deep.equal({isCut: false, resumedAfter: [1]});
	});

	it('is not cut because the only other endpoint asks for a short pause while connecting to it', async () => {
		const stream = await start({}, 'b');
		stream.begin();
		stream.sendEvent();
		vm.connections.unreachable.add('b');
		vm.removeEndpoint('a');
		stream.reset();
		await settle();
		expect(vm.fleet.loads.countOwnActive('b')).to.equal(1);
		vm.pauses.record({id: 'b', bornAt: 1}, 200);
		vm.dispatcher.abortPausedAttempts();
		await settle();
		expect(res.destroyed).to.equal(false);
	});
});
