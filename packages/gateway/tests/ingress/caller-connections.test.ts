import {EventEmitter} from 'node:events';
import type * as http from 'node:http';
import type * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

/** Socket without a network. */
class FakeSocket extends EventEmitter { // eslint-disable-line unicorn/prefer-event-target -- Sockets are emitters.
	bytesRead = 0;
	writableEnded = false;
	destroyed = false;

	destroy(): void {
		this.destroyed = true;
		this.emit('close');
	}
}

const toSocket = (socket: FakeSocket): net.Socket => socket as unknown as net.Socket;
const createResponse = (socket: FakeSocket, complete: boolean): http.ServerResponse & {closed: boolean} =>
	({closed: false, req: {complete, socket}} as unknown as http.ServerResponse & {closed: boolean});

describe('CallerConnections', () => {
	const connections = (): gateway.ingress.CallerConnections => new gateway.ingress.CallerConnections(3);

	/** Adds connections, each a millisecond after the one before. */
	function fill(all: gateway.ingress.CallerConnections): FakeSocket[] {
		return [0, 1, 2].map(now => {
			const socket = new FakeSocket();
			expect(all.add(toSocket(socket), now)).to.equal(true);
			return socket;
		});
	}

	/** Adds one more connection and returns the numbers of those that were closed for it. */
	async function addOne(all: gateway.ingress.CallerConnections, sockets: readonly FakeSocket[], now: number): Promise<number[]> {
		expect(all.add(toSocket(new FakeSocket()), now)).to.equal(true);
		await sleep(5);
		return sockets.flatMap((socket, index) => socket.destroyed ? [index] : []);
	}

	it('closes the oldest idle connection, not one whose first request is awaited', async () => {
		const all = connections();
		const sockets = fill(all);
		for (const index of [2, 1]) {
			const res = createResponse(sockets[index]!, true);
			all.onRequest(res);
			res.closed = true;
			all.onResponseEnd(toSocket(sockets[index]!), 10 - index);
		}

		expect(await addOne(all, sockets, 20)).to.deep.equal([2]);
		expect(all.size).to.equal(3);
	});

	it('closes a connection whose end is awaited before an idle one', async () => {
		const all = connections();
		const sockets = fill(all);
		sockets[1]!.writableEnded = true;
		expect(await addOne(all, sockets, 20)).to.deep.equal([1]);
	});

	it('closes the connection whose request arrives most slowly', async () => {
		const all = connections();
		const sockets = fill(all);
		for (const [index, bytes] of [5000, 10, 400].entries()) {
			all.onRequest(createResponse(sockets[index]!, false));
			sockets[index]!.bytesRead = bytes;
		}

		expect(await addOne(all, sockets, 3000)).to.deep.equal([1]);
	});

	it('keeps an idle connection on which a request arrives meanwhile', async () => {
		const all = connections();
		const sockets = fill(all);
		for (const [index, socket] of sockets.entries()) {
			const res = createResponse(socket, true);
			all.onRequest(res);
			res.closed = index === 0;
		}

		all.onResponseEnd(toSocket(sockets[0]!), 10);
		expect(all.add(toSocket(new FakeSocket()), 20)).to.equal(true);
		sockets[0]!.bytesRead = 100;
		all.onRequest(createResponse(sockets[0]!, true));
		await sleep(5);
		expect(sockets[0]!.destroyed).to.equal(false);
		expect(all.size).to.equal(4);
		// A response is awaited on it, so that it is not closed for the next one either; only the new one is.
		const next = new FakeSocket();
		all.add(toSocket(next), 30);
		await sleep(5);
		expect(sockets.some(({destroyed}) => destroyed)).to.equal(false);
	});

	it('has no room while responses are awaited on all', () => {
		const all = connections();
		for (const socket of fill(all)) {
			all.onRequest(createResponse(socket, true));
		}

		expect(all.add(toSocket(new FakeSocket()), 3000)).to.equal(false);
	});

	for (const [memoryMb, descriptors, expected] of [[200, 2212, 320], [200, 600, 300], [350, 4100, 560], [1, 600, 64], [undefined, 2212, 1509], [undefined, undefined, Infinity]] as const) {
		it(`are at most ${expected} with ${memoryMb} MB and ${descriptors} descriptors`, () => {
			expect(gateway.ingress.computeMaxConnections({memoryBytes: memoryMb === undefined ? undefined : memoryMb * 1_048_576, descriptors})).to.equal(expected);
		});
	}
});
