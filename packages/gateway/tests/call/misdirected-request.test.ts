import * as chai from 'chai';
import type * as core from '@bluebellmast/core';
import type * as fake from '../support/fake-connections.js';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;

// Guards against an endpoint that gets no requests for a second since its weights were not those that a request had named.
describe('a request that its endpoint refuses as misdirected', () => {
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

	it('does not make it unresponsive if the endpoint itself responds, whose weights have another version', async () => {
		const attempt = await start({});
		const {protocol} = vm.connections;
		const decode = protocol.decodeResponseHead;
		protocol.decodeResponseHead = (status, headers) => ({
			...decode(status, headers), isMisdirected: true, isNotExecuted: true, respondingEndpoint: 'a',
		});
		attempt.begin(421);
		attempt.end();
		await settle();
		expect(vm.fleet.health.isResponsive('a')).to.equal(true);
	});
});
