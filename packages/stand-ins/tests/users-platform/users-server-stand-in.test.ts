import * as http from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {ServerFault: serverFaults} = standIns.usersPlatform;
const pollMs = 5;
const maxPolls = 2000;

describe('UsersServerStandIn', () => {
	it('interrupts a stream that began under the fault, though the fault was taken back before the first event', async () => {
		const server = new standIns.usersPlatform.UsersServerStandIn({
			id: 'engine-1', service: 'llm', model: 'm', firstEventDelayMs: 80,
		});
		const {port} = await server.start();
		try {
			server.fault = serverFaults.BreakStream;
			const interrupted = new Promise<boolean>(resolve => {
				const req = http.get({
					host: '127.0.0.1', port, path: '/stream/1', headers: {'Bluebellmast-Request-Id': 'r1', 'Bluebellmast-Expected-Instance': 'engine-1'},
				}, res => {
					res.on('error', () => undefined);
					res.on('close', () => {
						resolve(!res.complete);
					});
					res.resume();
				});
				req.on('error', () => {
					resolve(true);
				});
			});
			for (let count = 0; count < maxPolls && server.executions.length === 0; count++) {
				await sleep(pollMs); // eslint-disable-line no-await-in-loop
			}

			chai.expect(server.executions).to.have.lengthOf(1);

			server.fault = serverFaults.None;
			chai.expect(await interrupted).to.equal(true);
		} finally {
			await server.stop();
		}
	});
});
