import * as chai from 'chai';
import type * as fake from '../support/fake-connections.js';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {maxRetries, settle} = loaded;

// Guards against LOST: the streams at an endpoint that fell silent were given up together, and those for which nothing else was left were cut.
describe('many streams at an endpoint that falls silent', () => {
	let vm: loaded.LoadedVm;

	beforeEach(async () => {
		vm = new loaded.LoadedVm();
		await vm.begin();
		vm.dispatcher.replaceSilentAttempts('a');
		await settle();
	});

	afterEach(async () => {
		await vm.close();
	});

	/** Lets all streams in progress send an event and end. */
	async function complete(): Promise<void> {
		for (const stream of vm.connections.streams.filter(each => !each.isAborted)) {
			stream.sendEvent();
			stream.end();
		}

		await settle();
		await Promise.all(vm.ended);
	}

	async function failReplacements(fail: (stream: fake.FakeStream) => void): Promise<void> {
		for (const stream of vm.connections.listAt('b')) {
			fail(stream);
		}

		await settle();
	}

	function expectComplete(): void {
		expect(vm.responses.map(res => res.destroyed)).to.not.include(true);
		for (const res of vm.responses) {
			expect(res.writableFinished).to.equal(true);
			expect(res.listEventIds()).to.deep.equal([1, 2]);
		}
	}

	it('are sent to another endpoint within the retry budget, and none is given up for it', () => {
		const replacements = vm.connections.listAt('b');
		expect(replacements.length).to.equal(maxRetries);
		expect(replacements.map(stream => stream.resumedAfter)).to.deep.equal(replacements.map(() => 1));
		expect(vm.ends).to.deep.equal([]);
	});

	it('are completed by the silent endpoint when it goes on, and the attempts at others end', async () => {
		for (const stream of vm.connections.listAt('a')) {
			stream.sendEvent();
		}

		expect(vm.connections.listAt('b').every(stream => stream.isAborted)).to.equal(true);
		for (const stream of vm.connections.listAt('a')) {
			stream.end();
		}

		await Promise.all(vm.ended);
		expectComplete();
	});

	it('are continued by the other endpoint once it sends an event, and only then end at the silent one', async () => {
		for (const stream of vm.connections.listAt('b')) {
			const silent = vm.connections.listAt('a').find(({requestId}) => requestId === stream.requestId)!;
			expect(silent.isAborted).to.equal(false);
			stream.begin();
			expect(silent.isAborted).to.equal(false);
			stream.sendEvent();
			expect(silent.isAborted).to.equal(true);
			stream.end();
		}

		await settle();
		await complete();
		expectComplete();
		expect(vm.ends.filter(({fault}) => fault === 'endpoint_silent').length).to.equal(maxRetries);
	});

	const failures: ReadonlyArray<{readonly title: string; readonly fail: (stream: fake.FakeStream) => void}> = [
		{
			title: 'refuses them',
			fail(stream) {
				stream.refuse();
			},
		},
		{
			title: 'breaks their connections',
			fail(stream) {
				stream.reset();
			},
		},
	];

	for (const {title, fail} of failures) {
		it(`are completed by the silent endpoint if the other one ${title}`, async () => {
			await failReplacements(fail);
			await complete();
			expectComplete();
		});
	}

	it('are continued by the other endpoint if the silent one ends', async () => {
		const replaced = new Set(vm.connections.listAt('b').map(({requestId}) => requestId));
		for (const stream of vm.connections.listAt('a').filter(({requestId}) => replaced.has(requestId))) {
			stream.reset();
		}

		await settle();
		for (const stream of vm.connections.listAt('b')) {
			stream.begin();
			stream.sendEvent();
			stream.end();
		}

		await settle();
		for (const stream of vm.connections.listAt('a').filter(({requestId}) => !replaced.has(requestId))) {
			stream.sendEvent();
			stream.end();
		}

		await Promise.all(vm.ended);
		expectComplete();
	});

	it('stay within the retry budget when the next check fails as well', async () => {
		expect(vm.connections.listAt('b').length).to.equal(maxRetries);
		vm.dispatcher.replaceSilentAttempts('a');
		await settle();
		expect(vm.connections.listAt('b').length).to.equal(maxRetries);
	});
});
