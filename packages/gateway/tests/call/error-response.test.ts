import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import type * as fake from '../support/fake-connections.js';
import * as loaded from '../support/loaded-vm.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {settle} = loaded;
const safe = {kind: core.routing.RouteKind.Safe, isResumable: false, targetLatencyMs: 20_000};

// Guards against a 502 in place of an endpoint's own error, which is discarded before another attempt has delivered a response.
describe('the error response of an endpoint', () => {
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

	/** Has the replacement fail after its endpoint has returned an error, when no other endpoint is left. */
	async function expectErrorResponse(fail: (replacement: fake.FakeStream) => void): Promise<void> {
		const silent = await start(safe, 'b');
		const replacement = await replace('b', 'a');
		vm.removeEndpoint('a');
		vm.removeEndpoint('b');
		silent.begin(500);
		silent.end();
		await settle();
		fail(replacement);
		await settle();
		expect({status: res.statusCode, isComplete: res.writableFinished}).to.deep.equal({status: 500, isComplete: true});
	}

	it('is delivered if the endpoint that could take the request has left before the error was read', async () => {
		const attempt = await start(safe, 'b');
		attempt.begin(500);
		vm.removeEndpoint('b');
		vm.removeEndpoint('a');
		attempt.end();
		await settle();
		expect({status: res.statusCode, isComplete: res.writableFinished}).to.deep.equal({status: 500, isComplete: true});
	});

	it('is delivered if the replacement refuses the request after the error', async () => expectErrorResponse(replacement => {
		replacement.refuse();
	}));

	it('is delivered if the replacement breaks its connection after the error', async () => expectErrorResponse(replacement => {
		replacement.reset();
	}));

	it('is delivered whole if the replacement does not respond before the deadline', async () => {
		const silent = await start({...safe, timeoutMs: 200}, 'b');
		await replace('b', 'a');
		silent.begin(500);
		silent.sendBytes('out of ');
		silent.sendBytes('order');
		silent.end();
		await Promise.all(vm.ended);
		expect({status: res.statusCode, body: res.body, isComplete: res.writableFinished}).to.deep.equal({status: 500, body: 'out of order', isComplete: true});
	});

	it('is not delivered if it breaks off before its end', async () => {
		const attempt = await start(safe, 'b');
		attempt.begin(500);
		attempt.sendBytes('out of ');
		vm.removeEndpoint('b');
		vm.removeEndpoint('a');
		attempt.reset();
		const [refusal] = await Promise.all(vm.ended);
		expect({code: refusal?.code, status: res.statusCode, body: res.body}).to.deep.equal({code: gateway.call.RefusalCode.OutcomeUnknown, status: 0, body: ''});
	});

	it('is not delivered if the replacement delivers', async () => {
		const silent = await start(safe, 'b');
		const replacement = await replace('b', 'a');
		silent.begin(500);
		silent.sendBytes('out of order');
		silent.end();
		await settle();
		replacement.begin();
		replacement.sendBytes('sound');
		replacement.end();
		await Promise.all(vm.ended);
		expect({status: res.statusCode, body: res.body, isComplete: res.writableFinished}).to.deep.equal({status: 200, body: 'sound', isComplete: true});
	});
});
