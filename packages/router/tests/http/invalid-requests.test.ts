import * as chai from 'chai';
import * as fixture from '../support/router-fixture.js';

const {expect} = chai;

type RefusalBody = {
	readonly error: {
		readonly code: string;
		readonly execution: string;
		readonly findings?: ReadonlyArray<{readonly place: string}>;
	};
};

type InvalidCase = {
	readonly name: string;
	readonly path?: string;
	readonly body: unknown;
	readonly headers?: Readonly<Record<string, string>>;
	readonly status: number;
	readonly code: string;
	readonly places?: readonly string[];
};

const chatPath = '/v1/chat/completions';
const valid = {model: fixture.modelId, messages: [{role: 'user', content: 'x'}]};

const invalid: readonly InvalidCase[] = [
	{
		name: 'a body that is not JSON', body: '{', status: 400, code: 'invalid_request', places: ['body'],
	},
	{
		name: 'a body with several invalid fields',
		body: {messages: [{role: 1}], max_tokens: -1}, // eslint-disable-line @typescript-eslint/naming-convention
		status: 400,
		code: 'invalid_request',
		places: ['/model', '/messages/0/role', '/messages/0/content', '/max_tokens'],
	},
	{
		name: 'an unknown path', path: '/v2/x', body: {}, status: 404, code: 'not_found',
	},
	{
		name: 'an unknown model', body: {...valid, model: 'none'}, status: 404, code: 'not_found',
	},
	{
		name: 'an unknown service', path: '/v1/services/none/x', body: {}, status: 404, code: 'not_found',
	},
	{
		name: 'an unknown bearer key', body: valid, headers: {authorization: 'Bearer x'}, status: 401, code: 'unauthenticated',
	},
	{
		name: 'a request without bearer key', body: valid, headers: {authorization: ''}, status: 401, code: 'unauthenticated',
	},
	{
		name: 'a malformed deadline',
		body: valid,
		headers: {'x-deadline-ms': 'soon'},
		status: 400,
		code: 'invalid_request',
		places: ['x-deadline-ms'],
	},
	{
		name: 'a booking without an idempotency key',
		path: '/v1/services/boekhuis/bookings',
		body: {},
		status: 400,
		code: 'idempotency_key_required',
		places: ['idempotency-key'],
	},
	...['//bookings', '/%62ookings', '/bookings%2f1', '/a%zz'].map(path => ({
		name: `the ambiguous path ${path} of a possible booking`,
		path: `/v1/services/boekhuis${path}`,
		body: {},
		status: 400,
		code: 'invalid_request',
		places: ['path'],
	})),
	{
		name: 'a body over the limit', body: 'x'.repeat(5000), status: 413, code: 'body_too_large',
	},
];

describe('invalid requests', () => {
	const routerFixture = new fixture.RouterFixture();

	before(async () => {
		await routerFixture.start({settings: {limits: {maxBodyBytes: 4096}}});
	});

	after(async () => {
		await routerFixture.stop();
	});

	for (const item of invalid) {
		it(`refuses ${item.name} and returns the error code and all findings`, async () => {
			const res = await routerFixture.call(item.path ?? chatPath, item.body, item.headers);
			const {error} = await res.json() as RefusalBody;
			expect(res.status).to.equal(item.status);
			expect(error.code).to.equal(item.code);
			expect(error.execution).to.equal('not_run');
			expect(error.findings?.map(finding => finding.place)).to.deep.equal(item.places);
		});
	}

	it('serves a valid request after all invalid ones', async () => {
		const res = await routerFixture.call(chatPath, valid);
		expect(res.status).to.equal(200);
	});
});
