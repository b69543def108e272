import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as blocking from '../../../kv/tests/support/blocking.js';
import * as threadServer from '../../../kv/tests/support/thread-server.js';
import * as loaded from '../support/loaded-vm.js';
import type * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {settle} = loaded;

// Guards against requests that are given up, or sent a second time, though their response had arrived while the event loop was blocked.
describe('a response that arrives while the event loop is blocked', () => {
	let vm: loaded.LoadedVm;

	beforeEach(() => {
		vm = new loaded.LoadedVm();
		vm.addEndpoint('a');
	});

	afterEach(async () => {
		await vm.close();
	});

	it('is delivered though the deadline has passed meanwhile', async () => {
		const res = vm.send('r-1', {timeoutMs: 400});
		await settle();
		const [stream] = vm.connections.streams;
		const socket = await threadServer.connectToSender(200);
		socket.once('data', () => {
			stream!.begin();
			stream!.sendEvent();
			stream!.end();
		});
		await blocking.blockEventLoop(900);
		await sleep(100);
		expect({status: res.statusCode, ids: res.listEventIds(), isComplete: res.writableFinished}).to.deep.equal({status: 200, ids: [1], isComplete: true});
	});

	it('is not requested from another endpoint since the first one seems to stall', async () => {
		vm.send('r-1', {kind: core.routing.RouteKind.Safe, targetLatencyMs: 100});
		await settle();
		vm.addEndpoint('b');
		const [stream] = vm.connections.streams;
		const socket = await threadServer.connectToSender(200);
		socket.once('data', () => {
			stream!.begin();
			stream!.end();
		});
		await blocking.blockEventLoop(900);
		await sleep(500);
		expect(vm.connections.listAt('b')).to.have.lengthOf(0);
	});

	it('does not count as a sign that its endpoint goes on, if the end of the connection arrives meanwhile as well', async () => {
		const prompt = {model: 'm', parts: [{id: 'f1', tokens: 60}, {id: 'f2', tokens: 60}]} as unknown as gateway.ports.PromptMetadata;
		vm.send('r-1', {}, {prompt});
		await settle();
		const [stream] = vm.connections.streams;
		stream!.begin();
		stream!.sendEvent();
		stream!.end();
		await Promise.all(vm.ended);
		const socket = await threadServer.connectToSender(200);
		socket.once('data', () => {
			vm.connections.endIdle('a', 70);
		});
		await blocking.blockEventLoop(900);
		await sleep(200);
		expect(vm.interruptionTimes).to.deep.equal([70]);
	});

	it('is not resumed at another endpoint since its next event seems late', async () => {
		vm.send('r-1', {gapTargetMs: 100});
		await settle();
		vm.addEndpoint('b');
		const [stream] = vm.connections.streams;
		stream!.begin();
		stream!.sendEvent();
		const socket = await threadServer.connectToSender(1800);
		socket.once('data', () => {
			stream!.sendEvent();
		});
		await blocking.blockEventLoop(2500);
		await sleep(500);
		expect(vm.connections.listAt('b')).to.have.lengthOf(0);
	}).timeout(10_000);
});

// Guards against a prompt that ends endpoints and is taken for a sound one, since their connections were not read after the event loop was blocked.
describe('a connection that is closed after a response while the event loop is blocked', () => {
	it('shows that the endpoint has ended on the request', async () => {
		const vm = new loaded.LoadedVm();
		vm.addEndpoint('a');
		const prompt = {model: 'm', parts: [{id: 'f1', tokens: 60}, {id: 'f2', tokens: 60}]} as unknown as gateway.ports.PromptMetadata;
		vm.send('r-1', {}, {prompt});
		await settle();
		const socket = await threadServer.connectToSender(200);
		const [stream] = vm.connections.streams;
		stream!.begin();
		stream!.sendEvent();
		stream!.end();
		await Promise.all(vm.ended);
		socket.once('data', () => {
			vm.connections.endIdle('a', vm.clock.now);
		});
		await blocking.blockEventLoop(900);
		await sleep(600);
		await vm.close();
		expect(vm.interruptedAt).to.deep.equal(['a']);
	});
});
