import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import * as net from 'node:net';
import {setImmediate as turn} from 'node:timers/promises';
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as purify from 'purify-ts';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const host = '127.0.0.1';
const maxBodyBytes = 300_000;

type SentRequest = {
	/** Sizes of the chunks of its body; a length is stated instead if absent. */
	readonly chunks?: readonly number[];
	readonly bytes: number;
};

/** Encodes a request whose body consists of distinguishable bytes. */
function encode({chunks, bytes}: SentRequest, number: number): {readonly wire: Uint8Array; readonly body: Uint8Array} {
	const body = Buffer.from(Array.from({length: bytes}, (_, index) => (index * 7) + number));
	const head = `POST /${number} HTTP/1.1\r\nHost: a.example\r\n`;
	if (chunks === undefined) {
		return {wire: Buffer.concat([Buffer.from(`${head}Content-Length: ${bytes}\r\n\r\n`), body]), body};
	}

	const parts = [Buffer.from(`${head}Transfer-Encoding: chunked\r\n\r\n`)];
	for (let offset = 0, index = 0; offset < bytes; index++) {
		const chunk = body.subarray(offset, offset + chunks[index % chunks.length]!);
		parts.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from('\r\n'));
		offset += chunk.length;
	}

	return {wire: Buffer.concat([...parts, Buffer.from('0\r\n\r\n')]), body};
}

// Guards against bytes that are lost, repeated or never read where the input of a connection is paced.
describe('requests whose bodies are paced', () => {
	let server: gateway.ingress.GatewayServer;
	let socket: net.Socket;
	const bodies: Uint8Array[] = [];

	beforeEach(async () => {
		bodies.length = 0;
		const dispatcher = {
			async dispatch(ctx: gateway.call.RequestContext) {
				bodies.push(Buffer.from(ctx.body ?? []));
				await turn();
				ctx.res.end('answer');
			},
		} as unknown as gateway.call.RequestDispatcher;
		const clock = new gateway.util.SystemClocks();
		server = new gateway.ingress.GatewayServer({
			protocol: {
				decodeRequestHead: () => purify.Right({
					method: 'POST', target: '/', host: 'a.example', requestId: 'r', forwardedHeaders: [],
				}),
			},
			filters: [new gateway.call.BodyFilter(clock)],
			dispatcher,
			clock,
			log: {write: () => undefined},
		});
		await server.listen({host, port: 0});
		socket = net.connect(server.port, host);
		await once(socket, 'connect');
	});

	afterEach(() => {
		socket.destroy();
		server.close();
	});

	/** Sends bytes in parts of the given sizes, and waits for as many responses. */
	async function send(wire: Uint8Array, parts: readonly number[], responses: number): Promise<void> {
		let text = '';
		const received = new Promise<void>((resolve, reject) => {
			socket.on('close', () => {
				reject(new Error(`closed after ${text}`));
			});
			socket.on('error', reject);
			socket.on('data', bytes => {
				text += bytes.toString('latin1');
				if (text.split('HTTP/1.1 200').length > responses) {
					resolve();
				}
			});
		});
		for (let offset = 0, index = 0; offset < wire.length; index++) {
			const part = wire.subarray(offset, offset + parts[index % parts.length]!);
			socket.write(part);
			offset += part.length;
			if (index % 3 === 2) {
				await turn(); // eslint-disable-line no-await-in-loop -- Parts follow one another.
			}
		}

		await received;
		socket.removeAllListeners('close');
	}

	const cases: ReadonlyArray<{readonly title: string; readonly requests: readonly SentRequest[]; readonly parts: readonly number[]}> = [
		{title: 'one large chunk', requests: [{chunks: [100_000], bytes: 100_000}], parts: [1_000_000]},
		{title: 'chunks of one byte', requests: [{chunks: [1], bytes: 60_000}], parts: [1_000_000]},
		{title: 'several requests at once', requests: [{chunks: [1], bytes: 5000}, {bytes: 90_000}, {chunks: [70_000, 1], bytes: 200_000}, {chunks: [3], bytes: 9000}], parts: [2_000_000]},
		{title: 'small parts', requests: [{chunks: [17], bytes: 30_000}, {chunks: [1], bytes: 300}], parts: [1000, 1, 77]},
	];
	for (const {title, requests, parts} of cases) {
		it(`arrive as they were sent: ${title}`, async () => {
			const encoded = requests.map((request, index) => encode(request, index));
			await send(Buffer.concat(encoded.map(({wire}) => wire)), parts, requests.length);
			expect(bodies.every((body, index) => Buffer.compare(body, encoded[index]!.body) === 0)).to.equal(true);
		});
	}

	for (const [title, isFirst] of [['before', true], ['after', false]] as const) {
		it(`are served beside a connection that Node's HTTP server gives up, if it does so ${title} them`, async () => { // eslint-disable-line @typescript-eslint/no-loop-func -- The fixture of the test.
			const wire = encode({chunks: [1], bytes: 2000}, 0);
			const sendConnect = async (): Promise<net.Socket> => {
				const other = net.connect(server.port, host);
				await once(other, 'connect');
				other.on('error', () => undefined);
				other.write('CONNECT a.example:1 HTTP/1.1\r\nHost: a.example\r\n\r\nmore');
				await once(other, 'data');
				return other;
			};

			const others = isFirst ? [await sendConnect()] : [];
			await send(wire.wire, [1_000_000], 1);
			others.push(...isFirst ? [] : [await sendConnect()]);
			for (const other of others) {
				other.write('and more');
			}

			await turn();
			await turn();
			socket.destroy();
			socket = net.connect(server.port, host);
			await send(wire.wire, [1_000_000], 1);
			expect(bodies).to.have.lengthOf(2);
			for (const other of others) {
				other.destroy();
			}
		});
	}

	it('arrive as they were sent, whatever their chunks and the parts in which they are read', async () => {
		const requestArbitrary = fastCheck.record({
			chunks: fastCheck.option(fastCheck.array(fastCheck.oneof(fastCheck.constant(1), fastCheck.integer({min: 1, max: 70_000})), {minLength: 1, maxLength: 4}), {nil: undefined}),
			bytes: fastCheck.oneof(fastCheck.nat(3000), fastCheck.nat(60_000), fastCheck.nat(maxBodyBytes)),
		});
		const partsArbitrary = fastCheck.array(fastCheck.integer({min: 500, max: 200_000}), {minLength: 1, maxLength: 5});
		await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(requestArbitrary, {minLength: 1, maxLength: 5}), partsArbitrary, async (requests, parts) => {
			bodies.length = 0;
			socket.destroy();
			socket = net.connect(server.port, host);
			await once(socket, 'connect');
			const encoded = requests.map((request, index) => encode(request, index));
			await send(Buffer.concat(encoded.map(({wire}) => wire)), parts, requests.length);
			expect(bodies.length).to.equal(requests.length);
			expect(bodies.every((body, index) => Buffer.compare(body, encoded[index]!.body) === 0)).to.equal(true);
		}), {seed: 75, numRuns: 60});
	}).timeout(60_000);
});
