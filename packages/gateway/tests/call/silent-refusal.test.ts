import * as chai from 'chai';
import type * as core from '@bluebellmast/core';
import type * as fake from '../support/fake-connections.js';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;

// Guards against an endpoint that gets no requests for up to a second after it has gone on, since it refused the request that it got while it was silent.
describe('a refusal', () => {
	let vm: loaded.LoadedVm;

	beforeEach(() => {
		vm = new loaded.LoadedVm();
	});

	afterEach(async () => {
		await vm.close();
	});

	/** Sends a request to endpoint `a`, and lists the others afterwards. @returns The attempt. */
	async function start(route: Partial<core.routing.Route>, ...others: string[]): Promise<fake.FakeStream> {
		vm.addEndpoint('a');
		vm.send('r-1', route);
		await settle();
		for (const id of others) {
			vm.addEndpoint(id);
		}

		return vm.connections.streams[0]!;
	}

	it('shows that a silent endpoint has gone on', async () => {
		const attempt = await start({});
		vm.fleet.health.recordCheck('a', false, 0);
		vm.clock.now = 100;
		attempt.refuse();
		await settle();
		expect(vm.fleet.health.isResponsive('a')).to.equal(true);
	});
});
