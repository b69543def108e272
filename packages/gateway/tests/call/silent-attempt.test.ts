import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import type * as fake from '../support/fake-connections.js';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;
const safe = {kind: core.routing.RouteKind.Safe, isResumable: false, targetLatencyMs: 20_000};

// Guards against LOST and MIXED: what becomes of the two attempts of a request at an endpoint that fell silent.
describe('a request at a silent endpoint', () => {
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
	async function replace(endpoint: string, silent = 'a'): Promise<fake.FakeStream | undefined> {
		vm.dispatcher.replaceSilentAttempts(silent);
		await settle();
		return vm.connections.listAt(endpoint).at(-1);
	}

	it('is not answered with the bodies of two responses, one after the other', async () => {
		const silent = await start(safe, 'b');
		silent.begin();
		silent.sendBytes('a'.repeat(70_000));
		const replacement = await replace('b');
		replacement?.begin();
		replacement?.sendBytes('b'.repeat(70_000));
		replacement?.end();
		await settle();
		expect({isJoined: res.body.includes('ab'), isComplete: res.writableFinished}).to.deep.equal({isJoined: false, isComplete: false});
		silent.sendBytes('a');
		silent.end();
		await settle();
		expect(res.body.length).to.equal(70_001);
	});

	it('gets the error of an endpoint if both endpoints return one', async () => {
		const silent = await start(safe, 'b');
		const replacement = await replace('b');
		silent.begin(500);
		replacement!.begin(500);
		silent.end();
		replacement!.end();
		await settle();
		expect({status: res.statusCode, isComplete: res.writableFinished}).to.deep.equal({status: 500, isComplete: true});
	});

	it('is still sent again after no connection was free for a replacement', async () => {
		const silent = await start({maxAttempts: 2}, 'b');
		silent.begin();
		silent.sendEvent();
		vm.connections.full.add('b');
		for (let check = 0; check < 4; check++) {
			await replace('b'); // eslint-disable-line no-await-in-loop -- Checks follow one another.
		}

		vm.connections.full.delete('b');
		silent.reset();
		await settle();
		expect(vm.connections.listAt('b').map(({resumedAfter}) => resumedAfter)).to.deep.equal([1]);
		expect(res.destroyed).to.equal(false);
	});

	it('is sent to a third endpoint if its replacement falls silent as well', async () => {
		await start({maxAttempts: 3}, 'b');
		await replace('b');
		vm.addEndpoint('c');
		await replace('c');
		await replace('c', 'b');
		await replace('c');
		expect(vm.connections.listAt('c').length).to.equal(1);
	});

	it('is not sent to a third endpoint that its route does not allow', async () => {
		await start({maxAttempts: 2}, 'b', 'c');
		await replace('b');
		await replace('b', 'b');
		await replace('c', 'c');
		expect(vm.connections.streams.length).to.equal(2);
	});

	it('is sent again to an endpoint that refused it before, when the silent one does not go on', async () => {
		await start({}, 'b');
		const replacement = await replace('b');
		replacement!.refuse();
		await settle();
		await replace('b');
		expect(vm.connections.listAt('b').length).to.equal(2);
	});

	it('gets the error of its endpoint if no other one is left', async () => {
		const attempt = await start(safe);
		vm.removeEndpoint('a');
		attempt.begin(500);
		attempt.end();
		await settle();
		expect(vm.connections.streams.length).to.equal(1);
		expect({status: res.statusCode, isComplete: res.writableFinished}).to.deep.equal({status: 500, isComplete: true});
	});

	describe('with two attempts in progress', () => {
		let silent: fake.FakeStream;
		let replacement: fake.FakeStream;

		beforeEach(async () => {
			silent = await start({}, 'b');
			silent.begin();
			silent.sendEvent();
			replacement = (await replace('b'))!;
		});

		function countActive(): number {
			return vm.fleet.loads.countOwnActive('a') + vm.fleet.loads.countOwnActive('b');
		}

		it('ends both when the caller disconnects', async () => {
			expect(countActive()).to.equal(2);
			res.emit('close');
			await Promise.all(vm.ended);
			expect([silent.isAborted, replacement.isAborted]).to.deep.equal([true, true]);
			expect(countActive()).to.equal(0);
			expect(vm.connections.streams.length).to.equal(2);
		});

		async function expectCut(): Promise<void> {
			await Promise.all(vm.ended);
			expect(res.destroyed).to.equal(true);
			expect(countActive()).to.equal(0);
			expect(vm.connections.streams.length).to.equal(2);
		}

		it('is cut once if both connections break in one tick, the silent one first', async () => {
			silent.reset();
			replacement.reset();
			await expectCut();
		});

		it('is cut once if both connections break in one tick, the replacement first', async () => {
			replacement.reset();
			silent.reset();
			await expectCut();
		});

		it('goes on at the replacement if an event of the silent one follows its first event in the same tick', async () => {
			replacement.begin();
			replacement.sendEvent();
			silent.sendEvent();
			replacement.end();
			await Promise.all(vm.ended);
			expect(res.listEventIds()).to.deep.equal([1, 2]);
			expect(silent.isAborted).to.equal(true);
			expect(countActive()).to.equal(0);
		});

		it('goes on at the silent one if its event comes between the head and the first event of the replacement in the same tick', async () => {
			replacement.begin();
			silent.sendEvent();
			replacement.sendEvent();
			silent.end();
			await Promise.all(vm.ended);
			expect(res.listEventIds()).to.deep.equal([1, 2]);
			expect(replacement.isAborted).to.equal(true);
			expect(countActive()).to.equal(0);
		});

		it('goes on at the silent one if its event comes before the head of the replacement in the same tick', async () => {
			silent.sendEvent();
			replacement.begin();
			replacement.sendEvent();
			silent.sendEvent();
			silent.end();
			await Promise.all(vm.ended);
			expect(res.listEventIds()).to.deep.equal([1, 2, 3]);
			expect(replacement.isAborted).to.equal(true);
			expect(countActive()).to.equal(0);
		});

		it('drops an event that the silent one has sent in part', async () => {
			silent.sendBytes('id: 2\nda');
			replacement.begin();
			replacement.sendEvent();
			silent.sendBytes('ta: y\n\n');
			replacement.end();
			await Promise.all(vm.ended);
			expect(res.body).to.equal('id: 1\ndata: x\n\nid: 2\ndata: x\n\n');
			expect(res.writableFinished).to.equal(true);
		});

		it('is continued by the silent one if the replacement returns an error', async () => {
			replacement.begin(500);
			silent.sendEvent();
			replacement.end();
			await settle();
			silent.end();
			await Promise.all(vm.ended);
			expect(res.listEventIds()).to.deep.equal([1, 2]);
			expect(res.writableFinished).to.equal(true);
			expect(countActive()).to.equal(0);
		});

		it('is completed by the replacement if the silent one breaks off within an event and the replacement begins in the same tick', async () => {
			silent.sendBytes('id: 2\nda');
			silent.reset();
			replacement.begin();
			replacement.sendEvent();
			replacement.end();
			await Promise.all(vm.ended);
			expect(res.body).to.equal('id: 1\ndata: x\n\nid: 2\ndata: x\n\n');
			expect(res.writableFinished).to.equal(true);
			expect(countActive()).to.equal(0);
		});

		it('is completed by the replacement if it ends in the tick in which the silent one breaks off', async () => {
			replacement.begin();
			replacement.sendEvent();
			replacement.end();
			silent.reset();
			await Promise.all(vm.ended);
			expect(res.listEventIds()).to.deep.equal([1, 2]);
			expect(res.writableFinished).to.equal(true);
		});
	});

	it('is not answered with an error response of its first endpoint that goes on with the one of another', async () => {
		const silent = await start({}, 'b');
		silent.begin(404);
		silent.sendBytes('a'.repeat(70_000));
		const replacement = await replace('b');
		replacement?.begin(404);
		replacement?.sendBytes('b'.repeat(70_000));
		replacement?.end();
		await settle();
		expect({isJoined: res.body.includes('ab'), isComplete: res.writableFinished}).to.deep.equal({isJoined: false, isComplete: false});
	});

	it('is not sent to a further endpoint after it has been interrupted twice', async () => {
		const first = await start({maxAttempts: 6}, 'b');
		first.begin();
		first.sendEvent();
		first.reset();
		await settle();
		const [second] = vm.connections.listAt('b');
		second!.begin();
		second!.sendEvent();
		vm.removeEndpoint('a');
		vm.addEndpoint('c');
		await replace('c', 'b');
		second!.reset();
		await settle();
		expect(vm.connections.listAt('c').length).to.equal(1);
		vm.addEndpoint('d');
		await replace('d', 'c');
		expect(vm.connections.listAt('d')).to.deep.equal([]);
	});

	it('is not sent to another endpoint while its caller does not read, but is afterwards', async () => {
		const silent = await start({}, 'b');
		silent.begin();
		res.write = () => false;
		silent.sendEvent();
		expect(await replace('b')).to.equal(undefined);
		res.emit('drain');
		expect(await replace('b')).to.not.equal(undefined);
	});

	it('ends both attempts at its deadline', async () => {
		const silent = await start({timeoutMs: 200}, 'b');
		silent.begin();
		silent.sendEvent();
		const replacement = await replace('b');
		await Promise.all(vm.ended);
		expect([silent.isAborted, replacement!.isAborted, res.destroyed]).to.deep.equal([true, true, true]);
		expect(vm.fleet.loads.countOwnActive('a') + vm.fleet.loads.countOwnActive('b')).to.equal(0);
		expect(vm.connections.streams.length).to.equal(2);
	});

	it('is answered once if the response of a safe request arrives from both endpoints', async () => {
		const silent = await start(safe, 'b');
		silent.begin();
		silent.sendBytes('a1');
		const replacement = await replace('b');
		replacement!.begin();
		replacement!.sendBytes('b1');
		silent.sendBytes('a2');
		silent.end();
		replacement!.sendBytes('b2');
		replacement!.end();
		await Promise.all(vm.ended);
		expect({body: res.body, isComplete: res.writableFinished}).to.deep.equal({body: 'b1b2', isComplete: true});
	});

	it('is answered by the endpoint that was silent if its body goes on before the replacement responds', async () => {
		const silent = await start(safe, 'b');
		silent.begin();
		silent.sendBytes('a1');
		const replacement = await replace('b');
		silent.sendBytes('a2');
		silent.end();
		replacement!.begin();
		await Promise.all(vm.ended);
		expect({body: res.body, isComplete: res.writableFinished}).to.deep.equal({body: 'a1a2', isComplete: true});
		expect(replacement!.isAborted).to.equal(true);
	});
});
