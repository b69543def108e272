import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as blocking from '../support/blocking.js';
import * as threadServer from '../support/thread-server.js';
import * as clients from '@bluebellmast/kv';

// Guards against a list of VMs that counts as unanswered although it arrived while the event loop was blocked.
describe('a list of VMs that arrives while the event loop is blocked', () => {
	it('is read though the time of the call has passed meanwhile', async () => {
		const server = await threadServer.ThreadServer.start([{afterMs: 400, text: threadServer.createJsonResponse([])}]);
		const client = clients.vms.createHttpVmListClient({baseUrl: `http://127.0.0.1:${server.port}`, timeoutMs: 600});
		const reading = client.list();
		await sleep(300);
		await blocking.blockEventLoop(1000);
		const list = await reading;
		await client.close();
		await server.stop();
		chai.expect(list).to.deep.equal([]);
	});
});
