import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const largeData = 'x'.repeat(100_000);

describe('HttpResponseWriter', () => {
	function createResponse(): http.ServerResponse {
		return new http.ServerResponse(new http.IncomingMessage(new net.Socket()));
	}

	it('closes the connection of a caller that does not read, and reports the caller as disconnected', async () => {
		const res = createResponse();
		const writer = new router.http.HttpResponseWriter(res, 'r', 1);
		writer.startStream({});
		await writer.sendEvent(0, largeData);
		expect(writer.isCallerDisconnected).to.equal(true);
		expect(res.destroyed).to.equal(true);
	});

	it('leaves no event listeners behind when it has waited for a slow caller', async () => {
		const res = createResponse();
		const writer = new router.http.HttpResponseWriter(res, 'r');
		writer.startStream({});
		const before = res.listenerCount('close');
		for (let id = 0; id < 20; id++) {
			const sent = writer.sendEvent(id, largeData);
			res.emit('drain');
			await sent; // eslint-disable-line no-await-in-loop
		}

		expect(res.listenerCount('close')).to.equal(before);
	});

	it('throws when a second final response is sent', () => {
		const writer = new router.http.HttpResponseWriter(createResponse(), 'r');
		writer.sendJson(200, {});
		expect(() => {
			writer.sendJson(200, {});
		}).to.throw('answer.one-final');
	});
});
