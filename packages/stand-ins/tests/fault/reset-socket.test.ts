import * as events from 'node:events';
import * as net from 'node:net';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

describe('resetSocket', () => {
	for (const isEnded of [false, true]) {
		it(`closes a connection whose writing side was ${isEnded ? 'just' : 'not'} ended`, async () => {
			const server = net.createServer({allowHalfOpen: true}, socket => {
				socket.on('error', () => undefined);
				socket.resume();
			});
			server.listen(0, '127.0.0.1');
			await events.EventEmitter.once(server, 'listening');
			const socket = net.connect({port: (server.address() as net.AddressInfo).port, host: '127.0.0.1', allowHalfOpen: true});
			try {
				await events.EventEmitter.once(socket, 'connect');
				const closed = events.EventEmitter.once(socket, 'close');
				if (isEnded) {
					socket.end();
				}

				standIns.fault.resetSocket(socket);
				const [hadError] = await closed as [boolean];
				chai.expect(hadError).to.equal(false);
			} finally {
				socket.destroy();
				server.close();
			}
		}).timeout(2000);
	}
});
