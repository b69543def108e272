import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const host = '127.0.0.1';
const report = {
	incarnation: 'i', sequence: 1, running: 2, queued: 3,
};

const malformed = [
	{name: 'a body that is not JSON', body: 'not found'},
	{name: 'JSON of another shape', body: '{"error":"not found"}'},
	{name: 'a report without incarnation', body: JSON.stringify({...report, incarnation: undefined})},
	{name: 'a report with a negative count', body: JSON.stringify({...report, running: -1})},
];

describe('LoadClient', () => {
	let responseBody = '';
	const server = http.createServer((_, res) => {
		res.end(responseBody);
	});
	const pools = new router.endpoints.ConnectionPools();
	const client = new router.endpoints.LoadClient(pools);

	before(async () => {
		await new Promise<void>(resolve => {
			server.listen(0, host, resolve);
		});
	});

	after(async () => {
		await pools.close();
		server.close();
	});

	async function read(body: string): Promise<unknown> {
		responseBody = body;
		const {port} = server.address() as net.AddressInfo;
		return client.read({
			id: 'e', service: 's', host, port, dataCentre: 'a', checksFencing: false, role: core.model.EngineRole.Mixed, capacity: 1, leaving: false,
		});
	}

	it('reads a report and applies the defaults of fields that only engines send', async () => {
		expect(await read(JSON.stringify(report))).to.include({...report, queuedTokens: 0, leaving: false});
	});

	for (const {name, body} of malformed) {
		it(`returns undefined for ${name}`, async () => {
			expect(await read(body)).to.equal(undefined);
		});
	}
});
