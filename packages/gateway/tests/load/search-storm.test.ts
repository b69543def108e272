import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as loaded from '../support/loaded-vm.js';

const {expect} = chai;
const {settle} = loaded;
const {LogEvent: logEvents} = core.log;
const streamCount = 1000;
const checkCount = 10;
/** Silent attempts at an endpoint with a line of their own in a second, and the line that counts the others. */
const maxLinesPerSecond = 9;
/** Longest time until the budget has no part in what was counted before, in milliseconds. */
const budgetMs = 15_000;

// Guards against a search and a log line for each of many requests at one silent endpoint after each failed check (incident LOST).
describe('a thousand streams at an endpoint that stays silent', () => {
	let vm: loaded.LoadedVm;

	beforeEach(async () => {
		vm = new loaded.LoadedVm(streamCount);
		await vm.begin();
	});

	afterEach(async () => {
		expect(vm.responses.some(res => res.destroyed)).to.equal(false);
		await vm.close();
	});

	/** Counts lines and searches of some failed checks, which follow each other at once. */
	async function failChecks(): Promise<{readonly searches: number; readonly lines: number}> {
		const before = {searches: vm.placer.searchCount, lines: vm.lines.length};
		for (let check = 0; check < checkCount; check++) {
			vm.dispatcher.replaceSilentAttempts('a');
			await settle(); // eslint-disable-line no-await-in-loop -- Checks follow one another.
		}

		return {searches: vm.placer.searchCount - before.searches, lines: vm.lines.length - before.lines};
	}

	it('costs a search for each check if no other endpoint is left, and few lines', async () => {
		vm.removeEndpoint('b');
		const {searches, lines} = await failChecks();
		expect(searches).to.be.at.most(checkCount);
		expect(lines).to.be.at.most(maxLinesPerSecond);
	});

	it('costs a search for each check if the other endpoint has no free connection, and few lines', async () => {
		vm.connections.full.add('b');
		const {searches, lines} = await failChecks();
		expect(searches).to.be.at.most(checkCount);
		expect(lines).to.be.at.most(maxLinesPerSecond);
	});

	it('costs no further search while the retry budget is used up, and few lines', async () => {
		vm.dispatcher.replaceSilentAttempts('a');
		await settle();
		expect(vm.connections.listAt('b').length).to.equal(loaded.countAllowedRetries(streamCount));
		const {searches, lines} = await failChecks();
		expect(searches).to.equal(0);
		expect(lines).to.be.at.most(maxLinesPerSecond);
	});

	it('is followed by replacements at the first check after an endpoint is there', async () => {
		vm.removeEndpoint('b');
		await failChecks();
		vm.addEndpoint('c');
		vm.dispatcher.replaceSilentAttempts('a');
		expect(vm.connections.listAt('c').length).to.equal(loaded.countAllowedRetries(streamCount));
	});

	it('is followed by replacements at the first check after the retry budget is free', async () => {
		await failChecks();
		const replacedCount = vm.connections.listAt('b').length;
		vm.clock.now += budgetMs;
		vm.dispatcher.replaceSilentAttempts('a');
		expect(vm.connections.listAt('b').length).to.equal(replacedCount + loaded.countAllowedRetries(0));
	});

	it('is counted by reason in one line', async () => {
		vm.removeEndpoint('b');
		vm.dispatcher.replaceSilentAttempts('a');
		while (!vm.lines.some(({event}) => event === logEvents.AttemptsSilent)) {
			await new Promise(resolve => { // eslint-disable-line no-await-in-loop -- The mocha timeout limits the wait.
				setTimeout(resolve, 50);
			});
		}

		const own = vm.lines.filter(({event}) => event === logEvents.AttemptSilent).length;
		const others = streamCount - own;
		expect(vm.lines.filter(({event}) => event === logEvents.AttemptsSilent).map(({fields}) => fields)).to.deep.include({
			endpoint: 'a', others, reasons: `no_endpoint ${others}`,
		});
	}).timeout(10_000);
});
