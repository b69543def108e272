import * as http from 'node:http';
import type * as net from 'node:net';
import * as chai from 'chai';
import * as core from '@bluebellmast/core';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const host = '127.0.0.1';
const {FailureCause: causes} = core.request;

type Case = {
	readonly name: string;
	readonly status: number;
	readonly execution?: string;
	readonly repeatable: boolean;
	/** Cause of the failure; absent if the response is passed on. */
	readonly cause?: core.request.FailureCause;
};

const cases: readonly Case[] = [
	{
		name: 'a non-repeatable call that a busy service may have executed', status: 503, repeatable: false,
	},
	{
		name: 'a non-repeatable call that the service reports as not executed', status: 503, execution: 'not_run', repeatable: false, cause: causes.Refused,
	},
	{
		name: 'a repeatable call at a busy service', status: 429, repeatable: true, cause: causes.EndpointError,
	},
	{
		name: 'a repeatable call with a status that is not retried', status: 404, repeatable: true,
	},
];

describe('ServiceClient', () => {
	const nextResponse: {status: number; execution?: string} = {status: 200};
	const server = http.createServer((_, res) => {
		res.writeHead(nextResponse.status, nextResponse.execution === undefined ? {} : {'x-execution': nextResponse.execution});
		res.end('answer');
	});
	const pools = new router.endpoints.ConnectionPools();
	const client = new router.endpoints.ServiceClient(pools, {maxResponseBytes: 1000});

	before(async () => {
		await new Promise<void>(resolve => {
			server.listen(0, host, resolve);
		});
	});

	after(async () => {
		await pools.close();
		server.close();
	});

	for (const item of cases) {
		it(`${item.cause === undefined ? 'passes on the response to' : `fails with cause ${item.cause} for`} ${item.name}`, async () => {
			nextResponse.status = item.status;
			nextResponse.execution = item.execution;
			const {port} = server.address() as net.AddressInfo;
			const endpoint = {
				id: 'e', service: 's', host, port, dataCentre: 'a', checksFencing: false, role: core.model.EngineRole.Mixed, capacity: 1, leaving: false,
			};
			const result = await client.call({
				endpoint,
				requestId: 'r',
				attemptId: 'a',
				account: 'c',
				method: 'POST',
				path: '/x',
				contentType: '',
				body: new Uint8Array(),
				repeatable: item.repeatable,
			}, {signal: new AbortController().signal, onSend() {}, onResponseStart() {}}); // eslint-disable-line @typescript-eslint/no-empty-function
			const cause = result.isLeft() ? (result.extract() as {cause: string}).cause : undefined;
			expect(cause).to.equal(item.cause);
			expect(result.isRight() ? result.unsafeCoerce().status : undefined).to.equal(item.cause === undefined ? item.status : undefined);
		});
	}
});

describe('endpointOrigin', () => {
	const cases = [
		{host: '10.0.0.1', origin: 'http://10.0.0.1:80'},
		{host: '2001:db8::1', origin: 'http://[2001:db8::1]:80'},
	];
	for (const {host: name, origin} of cases) {
		it(`returns ${origin} for host ${name} and port 80`, () => {
			expect(router.endpoints.endpointOrigin({host: name, port: 80} as core.model.Endpoint)).to.equal(origin);
		});
	}
});
