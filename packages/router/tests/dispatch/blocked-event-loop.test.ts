import * as http from 'node:http';
import * as net from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import type * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import * as blocking from '../../../kv/tests/support/blocking.js';
import * as threadServer from '../../../kv/tests/support/thread-server.js';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const attempt = {
	endpoint: {id: 'e', host: '127.0.0.1', port: 0},
	requestId: 'r',
	attemptId: 'a',
	account: 'c',
	weights: {model: 'm', modelVersion: '1'},
	body: {},
};
const engineHead = [
	'HTTP/1.1 200 OK', 'Content-Length: 2', 'x-request-id: r', 'x-attempt-id: a', 'x-weights: m@1', 'x-engine-incarnation: i',
].join('\r\n') + '\r\n\r\n';

// Guards against a request that is given up although the response of its endpoint, or of another router, arrived while the event loop was blocked.
describe('a response that arrives while the event loop is blocked', () => {
	let server: threadServer.ThreadServer | undefined;
	const pools = new router.endpoints.ConnectionPools();

	afterEach(async () => {
		await server?.stop();
	});

	after(async () => {
		await pools.close();
	});

	async function readEngineStream(writes: readonly threadServer.ServerWrite[]): Promise<string> {
		server = await threadServer.ThreadServer.start(writes);
		const engines = new router.endpoints.EngineClient(pools, {firstByteTimeoutMs: 600, progressTimeoutMs: 600});
		const result = await engines.open(
			{...attempt, endpoint: {...attempt.endpoint, port: server.port}} as unknown as Parameters<typeof engines.open>[0],
			{signal: new AbortController().signal, onSend: () => undefined},
		);
		let text = '';
		for await (const chunk of result.unsafeCoerce().body) {
			text += new TextDecoder().decode(chunk);
		}

		return text;
	}

	it('is read though the time for the head of an engine has passed meanwhile', async () => {
		const reading = readEngineStream([{afterMs: 400, text: `${engineHead}xy`}]);
		await sleep(300);
		await blocking.blockEventLoop(1000);
		expect(await reading).to.equal('xy');
	});

	it('is read as a whole though the time for the progress of an engine has passed meanwhile', async () => {
		const reading = readEngineStream([{afterMs: 0, text: `${engineHead}x`}, {afterMs: 500, text: 'y'}]);
		await sleep(400);
		await blocking.blockEventLoop(1000);
		expect(await reading).to.equal('xy');
	});

	it('is read though the deadline of the request has passed meanwhile', async () => {
		const endpoint = await threadServer.connectToSender(600);
		const ctx = {
			arrivedAt: 0, headers: {}, kind: {deadlineMs: 700}, response: {onCallerDisconnect: () => undefined},
		} as unknown as router.filters.RequestContext;
		let isAborted = true;
		const handled = new router.filters.DeadlineFilter().handle(ctx, async () => {
			await new Promise(resolve => {
				endpoint.once('data', resolve);
				ctx.signal!.addEventListener('abort', resolve);
			});
			isAborted = ctx.signal!.aborted;
		});
		await sleep(300);
		await blocking.blockEventLoop(1000);
		await handled;
		expect(isAborted).to.equal(false);
	});

	it('is passed on though the time for the response of the issuer has passed meanwhile', async () => {
		const issuer = await threadServer.connectToSender(700);
		let onAnswer: router.peers.PeerHandler = () => undefined;
		let request: wire.peer.ForwardRequest | undefined;
		const controller = new router.forward.ForwardController({
			incarnation: 'a-1',
			peers: {
				on(type: wire.peer.PeerMessageType, handler: router.peers.PeerHandler) {
					onAnswer = type === wire.peer.PeerMessageType.ForwardAnswer ? handler : onAnswer;
				},
				send(_to: core.model.VmId, message: wire.peer.ForwardRequest) {
					request = message;
					return true;
				},
			} as unknown as router.peers.PeerNetwork,
			clock: {now: () => 0},
			requests: new router.http.ActiveRequests(),
			manifest: () => undefined,
			filters: [],
		});
		await controller.start();
		const call = {
			type: router.filters.CallType.Service as const,
			service: 's', method: 'POST', path: '/', contentType: 'text/plain', body: new Uint8Array(),
		};
		const ctx = {
			id: 'r', deadlineAt: 300, headers: {idempotencyKey: 'k'}, call, account: {id: 'c'},
		} as unknown as router.filters.RequestContext;
		const forwarding = controller.forward(ctx, call, {vm: 'b', incarnation: 'b-1'});
		issuer.once('data', () => {
			onAnswer('b', {
				type: wire.peer.PeerMessageType.ForwardAnswer, forwardId: request!.forwardId, status: 200, headers: {}, body: new Uint8Array(),
			} as wire.peer.ForwardAnswer);
		});
		await sleep(300);
		await blocking.blockEventLoop(1000);
		const result = await forwarding;
		expect(result.isRight()).to.equal(true);
	});

	it('is sent on though the time for a caller that does not read has passed meanwhile', async () => {
		const caller = await threadServer.connectToSender(500);
		const res = new http.ServerResponse(new http.IncomingMessage(new net.Socket()));
		const writer = new router.http.HttpResponseWriter(res, 'r', 600);
		writer.startStream({});
		const sent = writer.sendEvent(0, 'x'.repeat(100_000));
		caller.once('data', () => {
			res.emit('drain');
		});
		await sleep(300);
		await blocking.blockEventLoop(1000);
		await sent;
		expect(writer.isCallerDisconnected).to.equal(false);
	});
});
