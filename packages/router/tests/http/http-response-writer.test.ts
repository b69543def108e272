import * as http from 'node:http';
import * as net from 'node:net';
import * as chai from 'chai';
import * as router from '@bluebellmast/router';

const {expect} = chai;
const largeData = 'x'.repeat(100_000);

describe('CallerAnswer', () => {
	function createResponse(): http.ServerResponse {
		return new http.ServerResponse(new http.IncomingMessage(new net.Socket()));
	}

	it('counts a caller that does not read as gone, and closes its connection', async () => {
		const res = createResponse();
		const answer = new router.http.HttpResponseWriter(res, 'r', 1);
		answer.startStream({});
		await answer.sendEvent(0, largeData);
		expect(answer.isCallerDisconnected).to.equal(true);
		expect(res.destroyed).to.equal(true);
	});

	it('waits for a slow caller without gathering listeners', async () => {
		const res = createResponse();
		const answer = new router.http.HttpResponseWriter(res, 'r');
		answer.startStream({});
		const before = res.listenerCount('close');
		for (let id = 0; id < 20; id++) {
			const sent = answer.sendEvent(id, largeData);
			res.emit('drain');
			await sent; // eslint-disable-line no-await-in-loop
		}

		expect(res.listenerCount('close')).to.equal(before);
	});

	it('gives one final answer', () => {
		const answer = new router.http.HttpResponseWriter(createResponse(), 'r');
		answer.sendJson(200, {});
		expect(() => {
			answer.sendJson(200, {});
		}).to.throw('answer.one-final');
	});
});
