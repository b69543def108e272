import * as chai from 'chai';
import * as wire from '@bluebellmast/wire';
import * as undici from 'undici';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const headerNames = wire.http.HeaderName;
const orderTypes = wire.endpoint.EngineOrderType;
const orderResults = wire.endpoint.EngineOrderResult;
const weights = 'model@1';
const messages = [{role: 'user', content: 'When is the window clear?'}];
const maxTokens = 20;
const account = 'club';
const expected = standIns.engine.expectedAnswer(account, messages, maxTokens);

type Answer = {readonly status: number; readonly headers: undici.Dispatcher.ResponseData['headers']; readonly text: string};

describe('EngineStandIn', () => {
	let engine: standIns.engine.EngineStandIn;
	let url: string;

	async function startEngine(options: standIns.engine.EngineOptions = {}): Promise<void> {
		engine = standIns.engine.createEngine({
			weights: [weights], stepMs: 1, stepPerRequestMs: 0, loadMs: 1, ...options,
		});
		const {port} = await engine.start();
		url = `http://127.0.0.1:${port}`;
	}

	async function call(method: 'GET' | 'POST' | 'DELETE', path: string, body?: unknown, headers: Record<string, string> = {}): Promise<Answer> {
		const res = await undici.request(`${url}${path}`, {
			method, headers, ...(body !== undefined && {body: JSON.stringify(body)}),
		});
		return {status: res.statusCode, headers: res.headers, text: await res.body.text()};
	}

	function createRequestBody(overrides: Partial<wire.endpoint.EngineCompletionRequest> = {}): wire.endpoint.EngineCompletionRequest {
		return {
			model: 'model',
			messages,
			stream: true,
			max_tokens: maxTokens, // eslint-disable-line @typescript-eslint/naming-convention
			priority: 0,
			cache_salt: 'salt', // eslint-disable-line @typescript-eslint/naming-convention
			prefix: [{key: 'k1', tokens: 100}],
			...overrides,
		};
	}

	function createHeaders(attemptId: string, overrides: Record<string, string> = {}): Record<string, string> {
		return {
			[headerNames.RequestId]: `request-${attemptId}`,
			[headerNames.AttemptId]: attemptId,
			[headerNames.Account]: account,
			[headerNames.Weights]: weights,
			...overrides,
		};
	}

	async function complete(attemptId: string, overrides: Partial<wire.endpoint.EngineCompletionRequest> = {}, headers: Record<string, string> = {}): Promise<Answer> {
		return call('POST', '/v1/chat/completions', createRequestBody(overrides), createHeaders(attemptId, headers));
	}

	async function cachedTokens(attemptId: string, overrides: Partial<wire.endpoint.EngineCompletionRequest> = {}): Promise<number> {
		const {text} = await complete(attemptId, {stream: false, ...overrides});
		return (JSON.parse(text) as wire.endpoint.Completion).usage.prompt_tokens_details.cached_tokens;
	}

	async function order(overrides: Partial<wire.endpoint.EngineOrder>): Promise<wire.endpoint.EngineOrderResult> {
		const {text} = await call('POST', '/v1/orders', {
			orderId: 'o1', type: orderTypes.Load, weights: 'model@2', fencing: 5, ...overrides,
		});
		return (JSON.parse(text) as wire.endpoint.EngineOrderResponse).result;
	}

	async function holdings(): Promise<wire.endpoint.EngineHoldings> {
		const {text} = await call('GET', '/v1/holdings');
		return JSON.parse(text) as wire.endpoint.EngineHoldings;
	}

	beforeEach(async () => {
		await startEngine();
	});

	afterEach(async () => {
		await engine.stop();
	});

	it('streams the expected answer with event ids from 0 and a final [DONE]', async () => {
		const answer = await complete('a');
		expect(parseStreamText(answer.text)).to.equal(expected.text);
		expect(parseEventIds(answer.text)).to.deep.equal(Array.from({length: expected.tokens.length + 2}, (_, index) => index));
		expect(answer.text.trimEnd().endsWith('data: [DONE]')).to.equal(true);
		expect(answer.headers[headerNames.EngineIncarnation]).to.equal(engine.incarnation);
		expect(answer.headers[headerNames.Weights]).to.equal(weights);
	});

	it('answers with a single completion when streaming is off', async () => {
		const {text} = await complete('a', {stream: false});
		const completion = JSON.parse(text) as wire.endpoint.Completion;
		expect(completion.choices[0]?.message.content).to.equal(expected.text);
		expect(completion.usage.prompt_tokens).to.equal(100);
	});

	it('refuses a request for weights that are not loaded without starting it', async () => {
		const answer = await complete('a', {}, {[headerNames.Weights]: 'model@9'});
		expect(answer.status).to.equal(409);
		expect(JSON.parse(answer.text)).to.have.property('code', 'weights_not_loaded');
		expect(engine.records()).to.deep.equal([]);
	});

	it('refuses a second request with the same attempt id', async () => {
		await complete('a');
		expect(await complete('a')).to.have.property('status', 409);
		expect(engine.records()).to.have.length(1);
	});

	it('resumes a stream after the last event id when its connection was lost', async () => {
		const abort = new AbortController();
		const res = await undici.request(`${url}/v1/chat/completions`, {
			method: 'POST', headers: createHeaders('a'), body: JSON.stringify(createRequestBody()), signal: abort.signal,
		});
		res.body.on('error', () => undefined);
		abort.abort();
		const rest = await call('GET', '/v1/streams/a', undefined, {[headerNames.LastEventId]: '4'});
		expect(parseStreamText(rest.text)).to.equal(expected.tokens.slice(5).join(''));
		expect(await call('GET', '/v1/streams/b')).to.have.property('status', 404);
	});

	it('ends a cancelled stream without [DONE]', async () => {
		await engine.stop();
		await startEngine({stepMs: 50});
		const streaming = complete('a');
		await standIns.util.sleep(20);
		expect(await call('DELETE', '/v1/streams/a')).to.have.property('status', 204);
		const {text} = await streaming;
		expect(text).not.to.include('[DONE]');
	});

	it('cancels an unstreamed completion when its caller disconnects', async () => {
		await engine.stop();
		await startEngine({stepMs: 20, loadLagMs: 0});
		const abort = new AbortController();
		const request = undici.request(`${url}/v1/chat/completions`, {
			method: 'POST', headers: createHeaders('a'), body: JSON.stringify(createRequestBody({stream: false})), signal: abort.signal,
		});
		await standIns.util.sleep(60);
		abort.abort();
		await request.catch(() => undefined); // eslint-disable-line promise/prefer-await-to-then
		await standIns.util.sleep(200);
		const {text} = await call('GET', '/v1/load');
		const load = JSON.parse(text) as wire.endpoint.LoadReport;
		expect([load.running, load.queued]).to.deep.equal([0, 0]);
	});

	it('continues the answer after a forced prefix', async () => {
		const given = expected.tokens.slice(0, 6).join('');
		const {text} = await complete('a', {forced_prefix: given}); // eslint-disable-line @typescript-eslint/naming-convention
		expect(given + parseStreamText(text)).to.equal(expected.text);
	});

	it('reuses cached pieces only under their salt and up to the first missing one', async () => {
		const piece = (key: string) => ({key, tokens: 100});
		await complete('a', {prefix: [piece('k1'), piece('k2')]});
		expect(await cachedTokens('b', {prefix: [piece('k1'), piece('k2'), piece('k3')]})).to.equal(200);
		expect(await cachedTokens('c', {prefix: [piece('x'), piece('k2')]})).to.equal(0);
		expect(await cachedTokens('d', {prefix: [piece('k1')], cache_salt: 'other'})).to.equal(0); // eslint-disable-line @typescript-eslint/naming-convention
	});

	it('evicts the cached pieces of unloaded weights', async () => {
		await complete('a');
		expect(await order({orderId: 'o1', type: orderTypes.Unload, weights})).to.equal(orderResults.Done);
		expect(await complete('b')).to.have.property('status', 409);
		await order({orderId: 'o2', type: orderTypes.Load, weights});
		await waitFor(async () => {
			const {weights: loaded} = await holdings();
			return loaded.includes(weights);
		});
		expect(await cachedTokens('c')).to.equal(0);
	});

	it('executes orders with the same id once', async () => {
		expect(await order({})).to.equal(orderResults.Accepted);
		await waitFor(async () => await order({}) === orderResults.Done);
		await order({orderId: 'o2', type: orderTypes.Unload});
		expect(await order({})).to.equal(orderResults.Done);
		expect((await holdings()).weights).to.deep.equal([weights]); // eslint-disable-line unicorn/no-await-expression-member
	});

	async function orderWithFencing(checksFencing: boolean, fencing: readonly number[]): Promise<wire.endpoint.EngineOrderResult[]> {
		await engine.stop();
		await startEngine({checksFencing});
		const results: wire.endpoint.EngineOrderResult[] = [];
		for (const [index, number] of fencing.entries()) {
			results.push(await order({orderId: `o${index}`, type: orderTypes.SetRole, fencing: number})); // eslint-disable-line no-await-in-loop
		}

		return results;
	}

	it('refuses an outdated fencing token when fencing is checked', async () => {
		expect(await orderWithFencing(true, [7, 6, 7])).to.deep.equal([orderResults.Done, orderResults.RefusedFencing, orderResults.Done]);
	});

	it('accepts an outdated fencing token when fencing is not checked', async () => {
		expect(await orderWithFencing(false, [7, 6, 7])).to.deep.equal([orderResults.Done, orderResults.Done, orderResults.Done]);
	});

	it('loads weights through the weight store', async () => {
		const store = standIns.weightStore.createWeightStore({loadMs: 1});
		const {port} = await store.start();
		await engine.stop();
		await startEngine({weightStore: `http://127.0.0.1:${port}`});
		await order({});
		await waitFor(async () => await order({}) === orderResults.Done);
		expect(store.counts().loads).to.equal(1);
		await store.stop();
	});

	it('exports and imports cached pieces through the store with their salt', async () => {
		const store = standIns.cacheStore.createCacheStore();
		const {port} = await store.start();
		await complete('a');
		const request = {keys: ['k1', 'k9'], store: `127.0.0.1:${port}`};
		const exported = await call('POST', '/v1/cache/export', request);
		expect(JSON.parse(exported.text)).to.deep.equal({moved: ['k1']});
		await engine.stop();
		await startEngine();
		await call('POST', '/v1/cache/import', request);
		expect(await cachedTokens('b')).to.equal(100);
		expect(await cachedTokens('c', {cache_salt: 'other'})).to.equal(0); // eslint-disable-line @typescript-eslint/naming-convention
		await store.stop();
	});

	it('publishes cache events with increasing sequence numbers, with gaps for dropped events', async () => {
		await engine.stop();
		await startEngine({cacheEventDelayMs: 0, cacheEventLoss: 0, cacheLimitTokens: 100});
		const events = await openEvents(url);
		await complete('a');
		await engine.server.applyFault({fault: standIns.fault.FaultName.DropEvents});
		await complete('b', {prefix: [{key: 'k2', tokens: 100}]});
		await engine.server.applyFault({fault: standIns.fault.FaultName.Clear});
		await complete('c', {prefix: [{key: 'k3', tokens: 100}]});
		const seen = await events(3);
		expect(seen.map(event => [event.sequence, event.type, event.key])).to.deep.equal([
			[0, 'stored', 'k1'], [3, 'stored', 'k3'], [4, 'evicted', 'k2'],
		]);
	});
});

async function waitFor(condition: () => Promise<boolean>): Promise<void> {
	while (!await condition()) { // eslint-disable-line no-await-in-loop
		await standIns.util.sleep(5); // eslint-disable-line no-await-in-loop
	}
}

function parseEventData(text: string): string[] {
	return text.split('\n').filter(line => line.startsWith('data: ')).map(line => line.slice('data: '.length));
}

function parseStreamText(text: string): string {
	return parseEventData(text)
		.filter(data => data !== '[DONE]')
		.map(data => (JSON.parse(data) as wire.endpoint.CompletionChunk).choices[0]?.delta.content ?? '')
		.join('');
}

function parseEventIds(text: string): number[] {
	return text.split('\n').filter(line => line.startsWith('id: ')).map(line => Number(line.slice('id: '.length)));
}

async function openEvents(url: string): Promise<(count: number) => Promise<wire.endpoint.CacheEvent[]>> {
	const res = await undici.request(`${url}/v1/cache-events`);
	let text = '';
	res.body.on('data', (part: Uint8Array) => {
		text += new TextDecoder().decode(part);
	});
	res.body.on('error', () => undefined);
	const read = () => parseEventData(text).map(data => JSON.parse(data) as wire.endpoint.CacheEvent);
	return async count => {
		await waitFor(async () => read().length >= count);
		return read();
	};
}
