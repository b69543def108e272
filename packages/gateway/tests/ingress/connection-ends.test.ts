import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as purify from 'purify-ts';
import * as rawCallers from '../support/raw-caller.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {RefusalCode: codes} = gateway.call;
const host = '127.0.0.1';
const pieceBytes = 6000;
const pieceCount = 5;
const pieceIntervalMs = 40;
/** Interval at which a body takes longer than the gateway waits for its end before it sends a refusal. */
const longIntervalMs = 600;
const bodyBytes = pieceBytes * pieceCount;
const piece = 'x'.repeat(pieceBytes);
const requestHead: gateway.ports.RequestHead = {
	method: 'POST', target: '/', host: 'a.example', requestId: 'r', deadlineMs: 8000, forwardedHeaders: [],
};

describe('callers that have sent a request', () => {
	let server: gateway.ingress.GatewayServer;
	let callers: rawCallers.RawCaller[] = [];
	let dispatched = 0;
	let dispatch: (ctx: gateway.call.RequestContext) => Promise<void>;
	let filters: gateway.call.RequestFilter[];
	let decode: gateway.ports.CallerProtocol['decodeRequestHead'];

	beforeEach(async () => {
		dispatched = 0;
		filters = [];
		decode = () => purify.Right(requestHead);
		dispatch = async ctx => {
			ctx.res.end('answer');
		};

		const clock = new gateway.util.SystemClocks();
		const bodyFilter = new gateway.call.BodyFilter(clock);
		server = new gateway.ingress.GatewayServer({
			protocol: {decodeRequestHead: (...args) => decode(...args)},
			filters: [
				{
					async check(ctx) {
						for (const filter of filters) {
							const refusal = await filter.check(ctx); // eslint-disable-line no-await-in-loop
							if (refusal !== undefined) {
								return refusal;
							}
						}

						return undefined;
					},
				},
				bodyFilter,
			],
			dispatcher: {
				async dispatch(ctx: gateway.call.RequestContext) {
					dispatched += 1;
					await dispatch(ctx);
				},
			} as unknown as gateway.call.RequestDispatcher,
			clock,
			log: {write: () => undefined},
		});
		await server.listen({host, port: 0});
	});

	afterEach(() => {
		server.close();
		for (const {socket} of callers) {
			socket.destroy();
		}

		callers = [];
	});

	async function connect(): Promise<rawCallers.RawCaller> {
		const caller = await rawCallers.connect(server.port);
		callers.push(caller);
		return caller;
	}

	function refuse(code: gateway.call.RefusalCode): void {
		filters.push({check: () => ({code, retryAfterMs: 300})});
	}

	/** Sets the limits that apply to the body of a request. */
	function limitBody(limits: {readonly bytes?: number; readonly timeoutMs?: number}): void {
		filters.push({
			check(ctx) {
				const table = {config: {limits: {bodyBytes: limits.bytes ?? 1_000_000}}};
				Object.assign(ctx, {table, route: {name: 'route', timeoutMs: limits.timeoutMs ?? 8000}});
				return undefined;
			},
		});
	}

	const bodies: ReadonlyArray<{readonly title: string; readonly header: string; readonly encode: (text: string) => string; readonly end: string}> = [
		{
			title: 'a body of known length', header: `Content-Length: ${bodyBytes}`, encode: text => text, end: '',
		},
		{
			title: 'a chunked body', header: 'Transfer-Encoding: chunked', encode: text => `${text.length.toString(16)}\r\n${text}\r\n`, end: '0\r\n\r\n',
		},
	];
	const refusals: ReadonlyArray<{readonly title: string; readonly status: number; readonly code: gateway.call.RefusalCode; readonly arrange: () => void}> = [
		...[
			{title: 'its API key is not known', status: 401, code: codes.UnknownKey},
			{title: 'its route is not known', status: 404, code: codes.UnknownRoute},
			{title: 'no configuration is known', status: 503, code: codes.ConfigUnavailable},
		].map(item => ({
			...item,
			arrange() {
				refuse(item.code);
			},
		})),
		{
			title: 'its head is malformed',
			status: 400,
			code: codes.MalformedRequest,
			arrange() {
				decode = () => purify.Left([{place: 'head', problem: 'no id'}]);
			},
		},
		{
			title: 'its body is too large',
			status: 413,
			code: codes.BodyTooLarge,
			arrange() {
				limitBody({bytes: pieceBytes + 1});
			},
		},
		{
			title: 'its body takes too long',
			status: 408,
			code: codes.BodyTimeout,
			arrange() {
				limitBody({timeoutMs: pieceIntervalMs});
			},
		},
		{
			title: 'its head can not be decoded for an internal error',
			status: 502,
			code: codes.InternalError,
			arrange() {
				decode = () => {
					throw new Error('decoder');
				};
			},
		},
	];

	for (const {title, status, code, arrange} of refusals) {
		for (const body of bodies) {
			it(`receive the refusal if ${title}, after ${body.title} in pieces`, async () => {
				arrange();
				const caller = await connect();
				caller.socket.write(`POST / HTTP/1.1\r\nHost: a.example\r\n${body.header}\r\n\r\n`);
				for (let index = 0; index < pieceCount; index++) {
					await sleep(pieceIntervalMs); // eslint-disable-line no-await-in-loop
					caller.socket.write(body.encode(piece));
				}

				caller.socket.write(body.end);
				await sleep(pieceIntervalMs);
				await caller.read();
				expect(caller.error).to.equal(undefined);
				expect(caller.statuses).to.deep.equal([status]);
				expect(JSON.parse(caller.responses[0]!.body)).to.include({code});
			});
		}

		it(`receive the refusal if ${title}, though they do not end their body`, async () => {
			arrange();
			const caller = await connect();
			caller.socket.write(`POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${bodyBytes}\r\n\r\n${piece}${piece}`);
			await caller.read();
			expect(caller.statuses).to.deep.equal([status]);
			expect(JSON.parse(caller.responses[0]!.body)).to.include({code});
			await rawCallers.waitUntil(() => caller.isClosed);
			expect(caller.isClosed).to.equal(true);
			expect(caller.error).to.equal(undefined);
		});
	}

	it('receive the refusal though they go on sending long after it', async () => {
		refuse(codes.ConfigUnavailable);
		const caller = await connect();
		caller.socket.write(`POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${bodyBytes}\r\n\r\n`);
		for (let index = 0; index < pieceCount; index++) {
			await sleep(longIntervalMs); // eslint-disable-line no-await-in-loop
			caller.socket.write(piece);
		}

		await caller.read();
		expect(caller.error).to.equal(undefined);
		expect(caller.statuses).to.deep.equal([503]);
	});

	it('receive a refusal without the headers of a response that could not be relayed', async () => {
		dispatch = async ctx => {
			ctx.res.setHeader('Transfer-Encoding', 'chunked');
			ctx.res.setHeader('Seal', 's');
			throw new Error('relay');
		};

		const caller = await connect();
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n');
		await caller.read();
		expect(caller.statuses).to.deep.equal([502]);
		expect(caller.responses[0]!.head).not.to.match(/^(?:transfer-encoding|seal):/im);
	});

	it('can use their connection again after a refusal, if they have ended their body', async () => {
		refuse(codes.ConfigUnavailable);
		const caller = await connect();
		caller.socket.write(`POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${2 * pieceBytes}\r\n\r\n${piece}`);
		await sleep(pieceIntervalMs);
		caller.socket.write(piece);
		await caller.read();
		filters = [];
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n');
		await caller.read(2);
		expect(caller.statuses).to.deep.equal([503, 200]);
	});

	it('receive the refusal while the server shuts down', async () => {
		refuse(codes.ConfigUnavailable);
		const caller = await connect();
		caller.socket.write(`POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${bodyBytes}\r\n\r\n${piece}`);
		await sleep(pieceIntervalMs);
		server.beginShutdown();
		const ended = server.finishShutdown(5000);
		for (let index = 1; index < pieceCount; index++) {
			await sleep(pieceIntervalMs); // eslint-disable-line no-await-in-loop
			caller.socket.write(piece);
		}

		await sleep(pieceIntervalMs);
		await caller.read();
		await ended;
		server.close();
		expect(caller.error).to.equal(undefined);
		expect(caller.statuses).to.deep.equal([503]);
	});

	it('receive the refusal of a body that is too large while the server shuts down', async () => {
		limitBody({bytes: pieceBytes + 1});
		server.beginShutdown();
		const caller = await connect();
		caller.socket.write(`POST / HTTP/1.1\r\nHost: a.example\r\nContent-Length: ${bodyBytes}\r\n\r\n${piece}`);
		await sleep(pieceIntervalMs);
		caller.socket.write(piece);
		await caller.read();
		expect(caller.statuses).to.deep.equal([413]);
		caller.socket.end();
		await rawCallers.waitUntil(() => caller.isClosed);
		expect(caller.error).to.equal(undefined);
	});

	/** Ends the grace period of a shutdown while a request is in progress. @returns The status that its caller receives. */
	async function endGracePeriod(isSent: boolean): Promise<readonly number[]> {
		let isSendable: boolean | undefined;
		dispatch = async ctx => {
			ctx.isSent = isSent;
			await new Promise<void>(resolve => {
				ctx.res.once('finish', resolve);
			});
			isSendable = !gateway.call.isCallerDisconnected(ctx);
		};

		const caller = await connect();
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n');
		await rawCallers.waitUntil(() => dispatched === 1);
		server.beginShutdown();
		await server.finishShutdown(200);
		server.close();
		await caller.read();
		expect(caller.error).to.equal(undefined);
		await rawCallers.waitUntil(() => isSendable !== undefined);
		expect(isSendable).to.equal(false);
		return caller.statuses;
	}

	it('receive a response if the grace period of a shutdown ends before that of an endpoint', async () => {
		expect(await endGracePeriod(true)).to.deep.equal([502]);
	});

	// Guards against a 502 for a request that has not run.
	it('receive a refusal if the grace period of a shutdown ends while they wait for an endpoint', async () => {
		expect(await endGracePeriod(false)).to.deep.equal([503]);
	});

	// Guards against a connection that is closed without a response when its caller asks for a tunnel.
	it('receive a refusal if they ask for a tunnel', async () => {
		const caller = await connect();
		caller.socket.write('CONNECT b.example:443 HTTP/1.1\r\nHost: b.example\r\n\r\n');
		await caller.read();
		expect(caller.statuses).to.deep.equal([400]);
		await rawCallers.waitUntil(() => caller.isClosed);
		expect(caller.error).to.equal(undefined);
	});

	it('receive their response if they ask for a tunnel meanwhile', async () => {
		let finish: () => void = () => undefined;
		const finished = new Promise<void>(resolve => {
			finish = resolve;
		});
		dispatch = async ctx => {
			await finished;
			ctx.res.end('answer');
		};

		const caller = await connect();
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\nCONNECT b.example:443 HTTP/1.1\r\nHost: b.example\r\n\r\n');
		await rawCallers.waitUntil(() => dispatched === 1);
		finish();
		await caller.read();
		expect(caller.statuses).to.deep.equal([200]);
		await rawCallers.waitUntil(() => caller.isClosed);
		expect(caller.error).to.equal(undefined);
	});

	it('receive responses to all pipelined requests while the server shuts down', async () => {
		let finish: () => void = () => undefined;
		const finished = new Promise<void>(resolve => {
			finish = resolve;
		});
		dispatch = async ctx => {
			await finished;
			ctx.res.end('answer');
		};

		const caller = await connect();
		caller.socket.write('GET /1 HTTP/1.1\r\nHost: a.example\r\n\r\nGET /2 HTTP/1.1\r\nHost: a.example\r\n\r\n');
		await rawCallers.waitUntil(() => dispatched > 0);
		server.beginShutdown();
		finish();
		await caller.read(2);
		expect(caller.error).to.equal(undefined);
		expect(caller.statuses).to.deep.equal([200, 200]);
		await rawCallers.waitUntil(() => caller.isClosed);
		expect(caller.isClosed).to.equal(true);
	});

	it('are not executed behind a response that ends with its connection', async () => {
		dispatch = async ctx => {
			await sleep(pieceIntervalMs);
			ctx.res.setHeader('Connection', 'close');
			ctx.res.end('answer');
		};

		const caller = await connect();
		caller.socket.write('GET /1 HTTP/1.1\r\nHost: a.example\r\n\r\nGET /2 HTTP/1.1\r\nHost: a.example\r\n\r\n');
		await caller.read(2);
		expect(caller.statuses).to.deep.equal([200]);
		expect(dispatched).to.equal(1);
	});

	it('receive their response if invalid bytes follow the request', async () => {
		let finish: () => void = () => undefined;
		const finished = new Promise<void>(resolve => {
			finish = resolve;
		});
		dispatch = async ctx => {
			ctx.res.writeHead(200, {'Content-Length': 6});
			ctx.res.write('ans');
			await finished;
			ctx.res.end('wer');
		};

		const caller = await connect();
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\n');
		await rawCallers.waitUntil(() => dispatched === 1);
		caller.socket.write('\0\0\0');
		await sleep(pieceIntervalMs);
		caller.socket.write('\0\0\0');
		await sleep(pieceIntervalMs);
		finish();
		await caller.read();
		expect(caller.error).to.equal(undefined);
		expect(caller.statuses).to.deep.equal([200]);
		await rawCallers.waitUntil(() => caller.isClosed);
		expect(caller.received).to.match(/answer$/);
	});

	it('receive their response if the body of a pipelined request has invalid framing', async () => {
		let finish: () => void = () => undefined;
		const finished = new Promise<void>(resolve => {
			finish = resolve;
		});
		dispatch = async ctx => {
			await finished;
			ctx.res.end('answer');
		};

		const caller = await connect();
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.example\r\n\r\nPOST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n');
		await rawCallers.waitUntil(() => dispatched === 1);
		caller.socket.write('none\r\n');
		await sleep(pieceIntervalMs);
		finish();
		await caller.read();
		expect(caller.error).to.equal(undefined);
		expect(caller.statuses).to.deep.equal([200]);
	});

	it('receive a refusal if their body has invalid framing', async () => {
		const caller = await connect();
		caller.socket.write('POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n');
		await sleep(pieceIntervalMs);
		caller.socket.write('none\r\n');
		await sleep(pieceIntervalMs);
		caller.socket.write('none\r\n');
		await caller.read();
		expect(caller.error).to.equal(undefined);
		expect(caller.statuses).to.deep.equal([400]);
		expect(dispatched).to.equal(0);
	});

	it('receive a refusal for invalid bytes that arrive in pieces', async () => {
		const caller = await connect();
		for (let index = 0; index < pieceCount; index++) {
			caller.socket.write('\0\0\0');
			await sleep(pieceIntervalMs); // eslint-disable-line no-await-in-loop
		}

		await caller.read();
		expect(caller.error).to.equal(undefined);
		expect(caller.statuses).to.deep.equal([400]);
	});

	it('receive a refusal for a head that is too large, after it was sent as a whole', async () => {
		const caller = await connect();
		caller.socket.write('GET / HTTP/1.1\r\nHost: a.example\r\n');
		for (let index = 0; index < 2 * pieceCount; index++) {
			caller.socket.write(`Field-${index}: ${piece}\r\n`);
			await sleep(pieceIntervalMs); // eslint-disable-line no-await-in-loop
		}

		caller.socket.write('\r\n');
		await caller.read();
		expect(caller.error).to.equal(undefined);
		expect(caller.statuses).to.deep.equal([431]);
	});
});
