import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';
import * as parseEvents from '../support/parse-events.js';
import * as fixture from '../support/router-fixture.js';

const {expect} = chai;
const messages = [{role: 'user', content: 'When is the window clear?'}];
const maxTokens = 200;
const {text: expected, finishReason} = standIns.engine.expectedAnswer(fixture.accountId, messages, maxTokens);
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

	/** Reads the first part of a stream, so that a fault applied afterwards occurs during the stream. */
	async function readFirstPart(reader: ReadableStreamDefaultReader<Uint8Array>): Promise<string> {
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

	async function readStreamDuring(action: () => Promise<void>): Promise<parseEvents.StreamEvent[]> {
		const res = await routerFixture.call('/v1/chat/completions', body);
		const reader = res.body!.getReader();
		const first = await readFirstPart(reader);
		await action();
		return parseEvents.parseEvents(first + await readRest(reader));
	}

	async function clearFaultsAfter(delayMs: number): Promise<void> {
		await standIns.util.sleep(delayMs);
		await routerFixture.engines[0]!.server.applyFault({fault: standIns.fault.FaultName.Clear});
	}

	function expectComplete(events: readonly parseEvents.StreamEvent[]): void {
		expect(parseEvents.assembleText(events)).to.equal(expected);
		expect(events.at(-1)?.data).to.equal('[DONE]');
		const ids = events.filter(event => event.id !== '').map(event => Number(event.id));
		expect(ids).to.deep.equal(ids.map((_, index) => index));
	}

	it('sends the complete response at once to a caller that does not stream', async () => {
		await routerFixture.start();
		const res = await routerFixture.call('/v1/chat/completions', {...body, stream: false});
		const completion = await res.json() as {choices: Array<{message: {content: string}; finish_reason: string}>};
		expect(completion.choices[0]?.message.content).to.equal(expected);
		expect(completion.choices[0]?.finish_reason).to.equal(finishReason);
	});

	it('streams the complete response in order', async () => {
		await routerFixture.start();
		expectComplete(await readStreamDuring(async () => undefined));
	});

	it('continues on another engine when the first one crashes during the stream', async () => {
		await routerFixture.start({engines: [['lantaarn@1'], ['lantaarn@1']], engine: {stepMs: 5}});
		const events = await readStreamDuring(async () => {
			const busy = routerFixture.engines.find(engine => engine.records().length > 0)!;
			await busy.server.applyFault({fault: standIns.fault.FaultName.Crash});
		});
		expectComplete(events);
		expect(events.some(event => event.name === 'restart')).to.equal(false);
	});

	it('resumes on the same engine when its connection stops sending', async () => {
		await routerFixture.start({engine: {stepMs: 5}});
		const events = await readStreamDuring(async () =>
			routerFixture.engines[0]!.server.applyFault({fault: standIns.fault.FaultName.Silent}));
		expectComplete(events);
		expect(routerFixture.engines[0]!.records()).to.have.length(1);
	});

	// Guards against a stream that ends with an error because its engine, the only one, was unreachable for a moment.
	it('resumes on the same engine when it cannot be connected to for a moment and no other can continue the stream', async () => {
		await routerFixture.start({engine: {stepMs: 5}});
		const {server} = routerFixture.engines[0]!;
		let isReachable: Promise<void> | undefined;
		const events = await readStreamDuring(async () => {
			await server.applyFault({fault: standIns.fault.FaultName.Refuse});
			await server.applyFault({fault: standIns.fault.FaultName.Silent});
			isReachable = clearFaultsAfter(1200);
		});
		await isReachable;
		expectComplete(events);
		expect(routerFixture.engines[0]!.records()).to.have.length(1);
	});

	it('completes a stream of an engine that is frozen for longer than the progress timeout', async () => {
		await routerFixture.start({engine: {stepMs: 5}});
		const {server} = routerFixture.engines[0]!;
		let isThawed: Promise<void> | undefined;
		const events = await readStreamDuring(async () => {
			await server.applyFault({fault: standIns.fault.FaultName.Freeze});
			isThawed = clearFaultsAfter(1800);
		});
		await isThawed;
		expectComplete(events);
		expect(routerFixture.engines[0]!.records()).to.have.length(1);
	});

	it('completes calls that arrive while the only engine is frozen for a moment', async () => {
		await routerFixture.start({engine: {stepMs: 1}});
		const {server} = routerFixture.engines[0]!;
		await server.applyFault({fault: standIns.fault.FaultName.Freeze});
		const responses = Array.from({length: 8}, async () => routerFixture.call('/v1/chat/completions', {...body, stream: false}));
		await standIns.util.sleep(1000);
		await server.applyFault({fault: standIns.fault.FaultName.Clear});
		for (const res of await Promise.all(responses)) {
			expect(res.status).to.equal(200);
		}

		expect(routerFixture.engines[0]!.records()).to.have.length(8);
	});

	it('restarts on allowed weights when the weights are recalled during the stream', async () => {
		await routerFixture.start({engines: [['lantaarn@1', 'lantaarn@2']], versions: ['2', '1'], engine: {stepMs: 5}});
		const events = await readStreamDuring(async () => routerFixture.recallBatch('model:lantaarn@2'));
		expectComplete(events);
		expect(events.filter(event => event.name === 'restart')).to.have.length(1);
		expect(routerFixture.engines[0]!.records().map(record => record.weights)).to.deep.equal(['lantaarn@2', 'lantaarn@1']);
	});

	it('refuses a call as not executed when no engine holds the weights', async () => {
		await routerFixture.start({engines: [['other@1']]});
		const res = await routerFixture.call('/v1/chat/completions', body);
		const {error} = await res.json() as {error: {code: string; execution: string; retryAfterMs: number}};
		expect(res.status).to.equal(503);
		expect(error).to.include({code: 'no_endpoint', execution: 'not_run'});
		expect(error.retryAfterMs).to.be.greaterThan(0);
	});

	it('ends the request and does not retry it when the caller disconnects', async () => {
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

	it('completes a stream in flight before a graceful shutdown ends', async () => {
		await routerFixture.start({engine: {stepMs: 5}});
		let stopped: Promise<void> | undefined;
		const events = await readStreamDuring(async () => {
			stopped = routerFixture.program.stop();
		});
		expectComplete(events);
		await stopped;
	});
});
