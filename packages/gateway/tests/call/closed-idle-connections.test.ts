import {once} from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as loaded from '../support/loaded-vm.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {settle} = loaded;

/** Has endpoint `a` complete a request, whose connection is idle afterwards. */
async function completeRequest(): Promise<loaded.LoadedVm> {
	const vm = new loaded.LoadedVm();
	vm.addEndpoint('a');
	const prompt = {model: 'm', parts: [{id: 'f1', tokens: 60}, {id: 'f2', tokens: 60}]} as unknown as gateway.ports.PromptMetadata;
	vm.send('r-1', {}, {prompt});
	await settle();
	const [stream] = vm.connections.streams;
	stream!.begin();
	stream!.sendEvent();
	stream!.end();
	await Promise.all(vm.ended);
	return vm;
}

// Guards against evidence for a quarantine from connections that the gateway has closed itself.
describe('connections that the gateway closes since their endpoint is silent', () => {
	it('do not show that an endpoint has ended on the requests that it had completed on them', async () => {
		const vm = await completeRequest();
		// As the controller does when a check has failed.
		vm.connections.pools.closeIdle('a');
		await new Promise(resolve => {
			setTimeout(resolve, 600);
		});
		expect(vm.interruptedAt).to.deep.equal([]);
	});

	it('are not open any more', async () => {
		const server = http.createServer((_req, res) => {
			res.end('x');
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const pool = new gateway.endpoints.ConnectionPool(`127.0.0.1:${(server.address() as net.AddressInfo).port}`, () => 0);
		const connection = pool.acquire({requiresFresh: false}, 10, 0)!;
		await new Promise<void>(resolve => {
			connection.dispatch({method: 'GET', path: '/'}, {
				onRequestStart: () => undefined,
				onResponseEnd() {
					resolve();
				},
				onResponseError() {
					resolve();
				},
			});
		});
		pool.release(connection, 0);
		expect(connection.isOpen).to.equal(true);
		pool.closeIdle();
		await settle();
		await settle();
		expect(connection.isOpen).to.equal(false);
		expect(connection.isClosedHere).to.equal(true);
		server.close();
	});
});

// Guards against ends of endpoints that look like several moments, since each is dated by when a VM learned of it.
describe('a connection that an endpoint closes shortly after a response', () => {
	it('shows when the endpoint ended', async () => {
		const vm = await completeRequest();
		vm.clock.now = 70;
		vm.connections.endIdle('a', vm.clock.now);
		vm.clock.now = 500;
		await new Promise(resolve => {
			setTimeout(resolve, 600);
		});
		expect({endpoints: vm.interruptedAt, times: vm.interruptionTimes}).to.deep.equal({endpoints: ['a'], times: [70]});
	});

	it('has the time of its close', async () => {
		let now = 5;
		const server = http.createServer((_req, res) => {
			res.end('x');
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const pool = new gateway.endpoints.ConnectionPool(`127.0.0.1:${(server.address() as net.AddressInfo).port}`, () => now);
		const connection = pool.acquire({requiresFresh: false}, 10, 0)!;
		await new Promise<void>(resolve => {
			connection.dispatch({method: 'GET', path: '/'}, {
				onRequestStart: () => undefined,
				onResponseEnd() {
					resolve();
				},
				onResponseError() {
					resolve();
				},
			});
		});
		pool.release(connection, 0);
		expect(connection.closedAt).to.equal(Infinity);
		now = 70;
		server.closeAllConnections();
		while (connection.isOpen) {
			await settle(); // eslint-disable-line no-await-in-loop -- Waits for the close, within the time limit of the test.
		}

		now = 90;
		expect({closedAt: connection.closedAt, isClosedHere: connection.isClosedHere}).to.deep.equal({closedAt: 70, isClosedHere: false});
		server.close();
	});
});
