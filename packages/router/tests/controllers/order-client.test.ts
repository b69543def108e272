import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import type * as core from '@bluebellmast/core';
import * as undici from 'undici';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const host = '127.0.0.1';

describe('HttpOrderClient', () => {
	let server: http.Server;
	let agent: undici.Agent;
	let status = 200;

	beforeEach(async () => {
		agent = new undici.Agent();
		server = http.createServer((_req, res) => {
			res.writeHead(status, {'Content-Type': 'application/json'});
			res.end(JSON.stringify({weights: [], result: 'accepted'}));
		});
		await new Promise<void>(resolve => {
			server.listen(0, host, resolve);
		});
	});

	afterEach(async () => {
		await agent.destroy();
		server.close();
	});

	async function hasHoldings(sentStatus: number): Promise<boolean> {
		status = sentStatus;
		const client = new router.controllers.HttpOrderClient({singleUse: () => agent});
		const {port} = server.address() as net.AddressInfo;
		const endpoint: Partial<core.model.Endpoint> = {id: 'e', host, port};
		return await client.readHoldings(endpoint as core.model.Endpoint) !== undefined;
	}

	const cases = [
		{sentStatus: 200, isUsed: true},
		{sentStatus: 302, isUsed: false},
		{sentStatus: 404, isUsed: false},
		{sentStatus: 503, isUsed: false},
	];
	for (const {sentStatus, isUsed} of cases) {
		it(`${isUsed ? 'uses' : 'does not use'} the body of a response with status ${sentStatus}`, async () => {
			expect(await hasHoldings(sentStatus)).to.equal(isUsed);
		});
	}
});
