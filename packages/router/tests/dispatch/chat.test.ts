import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';
import * as parseEvents from '../support/parse-events.js';
import * as fixture from '../support/router-fixture.js';

const {expect} = chai;
const messages = [{role: 'user', content: 'When is the window clear?'}];
const maxTokens = 200;
const expected = standIns.engine.expectedAnswer(fixture.accountId, messages, maxTokens).text;
const body = {
	model: fixture.modelId, messages, stream: true, max_tokens: maxTokens, // eslint-disable-line @typescript-eslint/naming-convention
};

describe('chat calls', () => {
	let routerFixture: fixture.RouterFixture;

	beforeEach(() => {
		routerFixture = new fixture.RouterFixture();
	});

	afterEach(async () => {
		await routerFixture.stop();
	});

	/** Waits until a stream is half generated, so that a fault meets it in the middle. */
	async function untilStreaming(reader: ReadableStreamDefaultReader<Uint8Array>): Promise<string> {
		const {value} = await reader.read();
		return new TextDecoder().decode(value);
	}

	async function readRest(reader: ReadableStreamDefaultReader<Uint8Array>): Promise<string> {
		const decoder = new TextDecoder();
		let text = '';
		for (;;) {
			const {done, value} = await reader.read(); // eslint-disable-line no-await-in-loop
			if (done) {
				return text;
			}

			text += decoder.decode(value, {stream: true});
		}
	}

	async function readWithFault(apply: () => Promise<void>): Promise<parseEvents.StreamEvent[]> {
		const res = await routerFixture.call('/v1/chat/completions', body);
		const reader = res.body!.getReader();
		const first = await untilStreaming(reader);
		await apply();
		return parseEvents.parseEvents(first + await readRest(reader));
	}

	function expectWhole(events: readonly parseEvents.StreamEvent[]): void {
		expect(parseEvents.assembleText(events)).to.equal(expected);
		expect(events.at(-1)?.data).to.equal('[DONE]');
		const ids = events.filter(event => event.id !== '').map(event => Number(event.id));
		expect(ids).to.deep.equal(ids.map((_, index) => index));
	}

	it('gives the whole answer at once to a caller that does not stream', async () => {
		await routerFixture.start();
		const res = await routerFixture.call('/v1/chat/completions', {...body, stream: false});
		const answer = await res.json() as {choices: Array<{message: {content: string}}>};
		expect(answer.choices[0]?.message.content).to.equal(expected);
	});

	it('streams the whole answer in order', async () => {
		await routerFixture.start();
		expectWhole(await readWithFault(async () => undefined));
	});

	it('continues on another engine when the first one crashes in the middle', async () => {
		await routerFixture.start({engines: [['lantaarn@1'], ['lantaarn@1']], engine: {stepMs: 5}});
		const events = await readWithFault(async () => {
			const busy = routerFixture.engines.find(engine => engine.records().length > 0)!;
			await busy.server.applyFault({fault: standIns.fault.FaultName.Crash});
		});
		expectWhole(events);
		expect(events.some(event => event.name === 'restart')).to.equal(false);
	});

	it('resumes on the same engine when its connection goes silent', async () => {
		await routerFixture.start({engine: {stepMs: 5}});
		const events = await readWithFault(async () =>
			routerFixture.engines[0]!.server.applyFault({fault: standIns.fault.FaultName.Silent}));
		expectWhole(events);
		expect(routerFixture.engines[0]!.records()).to.have.length(1);
	});

	it('starts over on allowed weights when the weights are recalled in the middle', async () => {
		await routerFixture.start({engines: [['lantaarn@1', 'lantaarn@2']], versions: ['2', '1'], engine: {stepMs: 5}});
		const events = await readWithFault(async () => routerFixture.recallBatch('model:lantaarn@2'));
		expectWhole(events);
		expect(events.filter(event => event.name === 'restart')).to.have.length(1);
		expect(routerFixture.engines[0]!.records().map(record => record.weights)).to.deep.equal(['lantaarn@2', 'lantaarn@1']);
	});

	it('refuses with not run when no engine holds the weights', async () => {
		await routerFixture.start({engines: [['other@1']]});
		const res = await routerFixture.call('/v1/chat/completions', body);
		const {error} = await res.json() as {error: {code: string; execution: string; retryAfterMs: number}};
		expect(res.status).to.equal(503);
		expect(error).to.include({code: 'no_endpoint', execution: 'not_run'});
		expect(error.retryAfterMs).to.be.greaterThan(0);
	});

	it('cancels the engine\'s work when the caller goes away', async () => {
		await routerFixture.start({engine: {stepMs: 50}});
		const abort = new AbortController();
		const res = await fetch(`${routerFixture.url}/v1/chat/completions`, {
			method: 'POST',
			signal: abort.signal,
			headers: {authorization: `Bearer ${fixture.accountKey}`},
			body: JSON.stringify(body),
		});
		await res.body!.getReader().read();
		abort.abort();
		await routerFixture.waitUntil(() => routerFixture.program.activeRequestCount === 0);
		expect(routerFixture.engines[0]!.records()).to.have.length(1);
	});

	it('ends a planned stop only after a stream that is under way is whole', async () => {
		await routerFixture.start({engine: {stepMs: 5}});
		let stopped: Promise<void> | undefined;
		const events = await readWithFault(async () => {
			stopped = routerFixture.program.stop();
		});
		expectWhole(events);
		await stopped;
	});
});
