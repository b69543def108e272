import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as ctl from '@bluebellmast/ctl';

const {expect} = chai;
const status = {vm: 'vm-1', generation: 3, confirmed: true};

describe('HttpRouterClient', () => {
	const cases: ReadonlyArray<{name: string; statusCode: number; body: string; expected: RegExp}> = [
		{
			name: 'sets the defaults of fields that a router omits', statusCode: 200, body: JSON.stringify(status), expected: /"vm":"vm-1".*"ready":false.*"endpoints":\[]/,
		},
		{
			name: 'mentions the operator key when the status is 401', statusCode: 401, body: '{}', expected: /HTTP status 401; check the operator key/,
		},
		{
			name: 'rejects a response that is not JSON', statusCode: 200, body: '<html>', expected: /JSON/,
		},
		{
			name: 'rejects a response that is not a router status', statusCode: 200, body: '{"vm":"vm-1"}', expected: /not a router status/,
		},
	];
	for (const {name, statusCode, body, expected} of cases) {
		it(name, async () => {
			const seen: Array<string | undefined> = [];
			const server = http.createServer((req, res) => {
				seen.push(req.headers.authorization, req.url);
				res.writeHead(statusCode).end(body);
			});
			await new Promise<void>(resolve => {
				server.listen(0, '127.0.0.1', resolve);
			});
			const {port} = server.address() as net.AddressInfo;
			const result = await new ctl.routers.HttpRouterClient(`http://127.0.0.1:${port}/`, 'key').status();
			server.closeAllConnections();
			server.close();
			expect(JSON.stringify(result.extract())).to.match(expected);
			expect(seen).to.deep.equal(['Bearer key', '/admin/status']);
		});
	}

	it('returns an error when the connection is refused', async () => {
		const result = await new ctl.routers.HttpRouterClient('http://127.0.0.1:1', undefined).timeline({requestId: 'r'});
		expect(result.isLeft()).to.equal(true);
	});
});
