import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as blocking from '../../../kv/tests/support/blocking.js';
import * as threadServer from '../../../kv/tests/support/thread-server.js';
import * as ctl from '@bluebellmast/ctl';

// Guards against a router that is reported as unreachable although its status arrived while the event loop was blocked.
describe('a status of a router that arrives while the event loop is blocked', () => {
	it('is read though the time of the call has passed meanwhile', async () => {
		const server = await threadServer.ThreadServer.start([
			{afterMs: 400, text: threadServer.createJsonResponse({vm: 'a', generation: 1, confirmed: true})},
		]);
		const reading = new ctl.routers.HttpRouterClient(`http://127.0.0.1:${server.port}`, undefined).status();
		await sleep(300);
		await blocking.blockEventLoop(2500);
		const status = await reading;
		await server.stop();
		chai.expect(status.isRight()).to.equal(true);
	});
});
