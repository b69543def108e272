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

	it('is taken from it by the first event of another one', async () => {
		const silent = await start({}, 'b');
		silent.begin();
		silent.sendEvent();
		const replacement = await replace('b', 'a');
		replacement.begin();
		replacement.sendBytes('id: 2\nda');
		expect(silent.isAborted).to.equal(false);
		replacement.sendBytes('ta: y\n\n');
		expect(silent.isAborted).to.equal(true);
		replacement.end();
		await settle();
		expect({body: res.body, isComplete: res.writableFinished}).to.deep.equal({body: 'id: 1\ndata: x\n\nid: 2\ndata: y\n\n', isComplete: true});
	});

	it('is not completed by another one that has no further event, but by itself when it goes on', async () => {
		const silent = await start({}, 'b');
		silent.begin();
		silent.sendEvent();
		const replacement = await replace('b', 'a');
		replacement.begin();
		replacement.end();
		await settle();
		expect({isAborted: silent.isAborted, ids: res.listEventIds(), isComplete: res.writableFinished})
			.to.deep.equal({isAborted: false, ids: [1], isComplete: false});
		silent.end();
		await settle();
		expect({ids: res.listEventIds(), isComplete: res.writableFinished}).to.deep.equal({ids: [1], isComplete: true});
	});

	it('is not taken from it by an event that does not follow the last one', async () => {
		const silent = await start({}, 'b');
		silent.begin();
		silent.sendEvent();
		const replacement = await replace('b', 'a');
		replacement.begin();
		replacement.sendBytes('id: 4\ndata: x\n\n');
		await settle();
		expect([silent.isAborted, replacement.isAborted]).to.deep.equal([false, true]);
		silent.sendEvent();
		silent.end();
		await settle();
		expect({ids: res.listEventIds(), isComplete: res.writableFinished}).to.deep.equal({ids: [1, 2], isComplete: true});
	});

	it('is not taken from it by an event of another one that never ends', async () => {
		const silent = await start({}, 'b');
		silent.begin();
		silent.sendEvent();
		const replacement = await replace('b', 'a');
		replacement.begin();
		for (let part = 0; part < 5; part++) {
			replacement.sendBytes('x'.repeat(65_536));
		}

		await settle();
		expect(vm.ends.map(({endpoint, fault}) => [endpoint, fault])).to.deep.equal([['b', 'endless_response']]);
		silent.sendEvent();
		silent.end();
		await settle();
		expect({ids: res.listEventIds(), isComplete: res.writableFinished}).to.deep.equal({ids: [1, 2], isComplete: true});
	});

	it('gets head and events of one endpoint if both send a head', async () => {
		const silent = await start({}, 'b');
		const replacement = await replace('b', 'a');
		silent.begin(200);
		replacement.begin(201);
		expect([silent.isAborted, replacement.isAborted, res.headersSent]).to.deep.equal([false, false, false]);
		replacement.sendEvent();
		replacement.end();
		await settle();
		expect(silent.isAborted).to.equal(true);
		expect(vm.ends.map(({endpoint, fault}) => [endpoint, fault])).to.deep.equal([['a', 'superseded']]);
		expect({status: res.statusCode, ids: res.listEventIds(), isComplete: res.writableFinished}).to.deep.equal({status: 201, ids: [1], isComplete: true});
	});

	it('goes on at its first endpoint if another one that has sent a head breaks off, and the other way round', async () => {
		for (const isFirstLost of [true, false]) {
			vm = new loaded.LoadedVm();
			const silent = await start({}, 'b'); // eslint-disable-line no-await-in-loop -- The cases follow one another.
			const replacement = await replace('b', 'a'); // eslint-disable-line no-await-in-loop -- The cases follow one another.
			silent.begin();
			replacement.begin();
			const [lost, left] = isFirstLost ? [silent, replacement] : [replacement, silent];
			lost.reset();
			await settle(); // eslint-disable-line no-await-in-loop -- The cases follow one another.
			left.sendEvent();
			left.end();
			await Promise.all(vm.ended); // eslint-disable-line no-await-in-loop -- The cases follow one another.
			expect({ids: res.listEventIds(), isComplete: res.writableFinished}).to.deep.equal({ids: [1], isComplete: true});
		}
	});

	it('goes on at its first endpoint if another one returns an error after its head', async () => {
		const silent = await start({}, 'b');
		const replacement = await replace('b', 'a');
		silent.begin();
		replacement.begin(404);
		replacement.end();
		silent.sendEvent();
		silent.end();
		await settle();
		expect({status: res.statusCode, ids: res.listEventIds(), isComplete: res.writableFinished}).to.deep.equal({status: 200, ids: [1], isComplete: true});
	});
});
