import * as chai from 'chai';
import type * as core from '@bluebellmast/core';
import type * as fake from '../support/fake-connections.js';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;

// Guards against a stream that is cut since an endpoint sent a head, and nothing else, while its own one was silent.
describe('a stream whose endpoint is silent', () => {
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

	/** Has the request sent to another endpoint as well. @returns The last attempt at that endpoint. */
	async function replace(endpoint: string, silent: string): Promise<fake.FakeStream> {
		vm.dispatcher.replaceSilentAttempts(silent);
		await settle();
		return vm.connections.listAt(endpoint).at(-1)!;
	}

	it('is not taken from it by the mere head of another one that breaks off before its first event', async () => {
		const silent = await start({}, 'b');
		silent.begin();
		silent.sendEvent();
		const replacement = await replace('b', 'a');
		replacement.begin();
		replacement.reset();
		await settle();
		if (!silent.isAborted) {
			silent.sendEvent();
			silent.end();
			await settle();
		}

		expect({isAborted: silent.isAborted, ids: res.listEventIds(), isComplete: res.writableFinished})
			.to.deep.equal({isAborted: false, ids: [1, 2], isComplete: true});
	});
});
