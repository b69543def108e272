import {once} from 'node:events';
import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as loaded from '../support/loaded-vm.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {settle} = loaded;

// Guards against evidence for a quarantine from connections that the gateway has closed itself.
describe('connections that the gateway closes since their endpoint is silent', () => {
	it('do not show that an endpoint has ended on the requests that it had completed on them', async () => {
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
