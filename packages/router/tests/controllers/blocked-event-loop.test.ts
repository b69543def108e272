import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import type * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as blocking from '../../../kv/tests/support/blocking.js';
import * as threadServer from '../../../kv/tests/support/thread-server.js';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const host = '127.0.0.1';
const messageType = wire.peer.PeerMessageType;

// Guards against members that are suspected although their response to a ping arrived while the event loop was blocked.
describe('a member whose response arrives while the event loop is blocked', () => {
	it('is not suspected', async () => {
		const handlers = new Map<wire.peer.PeerMessageType, router.peers.PeerHandler>();
		const pings: wire.peer.PingMessage[] = [];
		const statuses: string[] = [];
		const members = new router.controllers.MemberController({
			vm: 'a',
			incarnation: 'a-1',
			dataCentre: 'dc',
			host,
			port: 1,
			seedAddresses: [],
			clock: new router.clock.SystemClock(),
			vmList: {list: async () => undefined},
			peers: {
				on(type: wire.peer.PeerMessageType, handler: router.peers.PeerHandler) {
					handlers.set(type, handler);
				},
				send(_to: core.model.VmId, message: wire.peer.PingMessage) {
					pings.push(message);
					return true;
				},
			} as unknown as router.peers.PeerNetwork,
			metrics: {
				increment(_name, _by, tags = {}) {
					const {status} = tags;
					statuses.push(...(status === undefined ? [] : [status]));
				},
				gauge: () => undefined,
				timing: () => undefined,
			},
		});
		const peer = await threadServer.connectToSender(1850);
		await members.start();
		handlers.get(messageType.Hello)!('b', {
			type: messageType.Hello, incarnation: 'b-1', host, port: 2, dataCentre: 'dc',
		} as wire.peer.Hello);
		peer.once('data', () => {
			for (const {spread} of pings.splice(0)) {
				handlers.get(messageType.Ack)!('b', {type: messageType.Ack, spread: {...spread, records: []}} as wire.peer.PingMessage);
			}
		});
		await sleep(1750);
		await blocking.blockEventLoop(600);
		await sleep(100);
		await members.stop();
		expect(statuses).to.not.include('suspect');
	});
});

// Guards against a booking that is refused, or committed by a second router, although the answer on its intent arrived while the event loop was blocked.
describe('the timer of the ledger beside a blocked event loop', () => {
	it('calls back after the answer that arrived meanwhile', async () => {
		const peer = await threadServer.connectToSender(400);
		const seen: string[] = [];
		peer.once('data', () => {
			seen.push('answer');
		});
		const ended = new Promise<void>(resolve => {
			new router.controllers.SystemTimer().after(600, () => {
				seen.push('timer');
				resolve();
			});
		});
		await sleep(300);
		await blocking.blockEventLoop(600);
		await ended;
		expect(seen).to.deep.equal(['answer', 'timer']);
	});

	it('does not call back after it is cancelled by an answer that arrived meanwhile', async () => {
		const peer = await threadServer.connectToSender(400);
		let callCount = 0;
		const cancel = new router.controllers.SystemTimer().after(600, () => {
			callCount += 1;
		});
		peer.once('data', cancel);
		await sleep(300);
		await blocking.blockEventLoop(600);
		await sleep(50);
		expect(callCount).to.equal(0);
	});
});
