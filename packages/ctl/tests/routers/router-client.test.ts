import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as ctl from '@bluebellmast/ctl';

const {expect} = chai;
const status = {vm: 'vm-1', generation: 3, confirmed: true};

describe('HttpRouterClient', () => {
	const cases: ReadonlyArray<{name: string; statusCode: number; body: string; expected: RegExp}> = [
		{
			name: 'fills in what a router leaves out', statusCode: 200, body: JSON.stringify(status), expected: /"vm":"vm-1".*"ready":false.*"endpoints":\[]/,
		},
		{
			name: 'hints at the operator key', statusCode: 401, body: '{}', expected: /HTTP status 401; is the operator key right\?/,
		},
		{
			name: 'refuses what is no JSON', statusCode: 200, body: '<html>', expected: /JSON/,
		},
		{
			name: 'refuses what is no status', statusCode: 200, body: '{"vm":"vm-1"}', expected: /no status of a router/,
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
			const answer = await new ctl.routers.HttpRouterClient(`http://127.0.0.1:${port}/`, 'key').status();
			server.closeAllConnections();
			server.close();
			expect(JSON.stringify(answer.extract())).to.match(expected);
			expect(seen).to.deep.equal(['Bearer key', '/admin/status']);
		});
	}

	it('tells that nobody answers', async () => {
		const answer = await new ctl.routers.HttpRouterClient('http://127.0.0.1:1', undefined).timeline({requestId: 'r'});
		expect(answer.isLeft()).to.equal(true);
	});
});
