import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as blocking from '../../../kv/tests/support/blocking.js';
import * as threadServer from '../../../kv/tests/support/thread-server.js';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const endpoint: core.model.Endpoint = {
	id: 'e', service: 's', host: '127.0.0.1', port: 0, dataCentre: 'a', checksFencing: false, role: core.model.EngineRole.Mixed, capacity: 1, leaving: false,
};
const report = {
	incarnation: 'i', sequence: 1, running: 0, queued: 0,
};

// Guards against endpoints that count as unreachable although their response arrived while the event loop was blocked.
describe('a response of an endpoint to a call of the control plane that arrives while the event loop is blocked', () => {
	const pools = new router.endpoints.ConnectionPools();

	after(async () => {
		await pools.close();
	});

	async function readWhileBlocked(body: unknown, read: (endpoint: core.model.Endpoint) => Promise<unknown>): Promise<unknown> {
		const server = await threadServer.ThreadServer.start([{afterMs: 400, text: threadServer.createJsonResponse(body)}]);
		const reading = read({...endpoint, port: server.port});
		await sleep(300);
		await blocking.blockEventLoop(1000);
		const result = await reading;
		await server.stop();
		return result;
	}

	it('is read though the time of the read of a load has passed meanwhile', async () => {
		const client = new router.endpoints.LoadClient(pools, 600);
		expect(await readWhileBlocked(report, async target => client.read(target))).to.include(report);
	});

	it('is read though the time of the read of an engine\'s holdings has passed meanwhile', async () => {
		const client = new router.controllers.HttpOrderClient(pools, 600);
		expect(await readWhileBlocked({weights: []}, async target => client.readHoldings(target))).to.deep.equal({weights: []});
	});
});
