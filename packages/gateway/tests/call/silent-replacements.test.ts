import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import type * as fake from '../support/fake-connections.js';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;
/** The shortest time without a response after which a safe request is sent to another endpoint follows from a short target. */
const impatient = {
	kind: core.routing.RouteKind.Safe, isResumable: false, targetLatencyMs: 100, maxAttempts: 3,
};

/** Waits until a condition holds, for at most `maxMs` milliseconds. */
async function waitFor(condition: () => boolean, maxMs: number): Promise<void> {
	const endsAt = Date.now() + maxMs;
	while (!condition() && Date.now() < endsAt) {
		await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- Checks follow one another.
			setTimeout(resolve, 20);
		});
	}
}

// Guards against a second attempt that is given up before the third one responds, and against a wait until the deadline for two stalled connections.
describe('a request whose endpoint and second endpoint are silent', () => {
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

	it('is sent to a third endpoint though the second one serves others', async () => {
		await start(impatient, 'b', 'c');
		await waitFor(() => vm.connections.streams.length === 3, 3000);
		expect(vm.connections.streams.map(({endpoint}) => endpoint).sort()).to.deep.equal(['a', 'b', 'c']);
	});

	it('stays at its second endpoint until the third one responds', async () => {
		const first = await start({maxAttempts: 3}, 'b');
		const second = await replace('b', 'a');
		vm.addEndpoint('c');
		const third = await replace('c', 'b');
		expect(third.endpoint).to.equal('c');
		third.refuse();
		await settle();
		first.reset();
		await settle();
		if (!second.isAborted) {
			second.begin();
			second.sendEvent();
			second.end();
			await settle();
		}

		expect({isAborted: second.isAborted, ids: res.listEventIds(), isComplete: res.writableFinished})
			.to.deep.equal({isAborted: false, ids: [1], isComplete: true});
	});

	it('is sent to a third endpoint though its stream has begun and both serve others', async () => {
		const stream = await start({gapTargetMs: 100, maxAttempts: 3}, 'b', 'c');
		stream.begin();
		stream.sendEvent();
		await waitFor(() => vm.connections.streams.length === 3, 6000);
		expect(vm.connections.streams.map(({endpoint}) => endpoint).sort()).to.deep.equal(['a', 'b', 'c']);
	}).timeout(10_000);
});
