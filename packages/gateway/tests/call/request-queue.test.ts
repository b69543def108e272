import {once} from 'node:events';
import * as net from 'node:net';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

function createRequest(changes: Partial<gateway.call.QueuedRequest>): gateway.call.QueuedRequest {
	return {
		pool: 'app',
		priority: 0,
		targetLatencyMs: 500,
		prefillTokens: 300,
		arrivedAt: 0,
		deadlineAt: 5000, usageMark: 0,
		expiresAt: Infinity,
		hasCapacity: () => false,
		...changes,
	};
}

describe('RequestQueue', () => {
	it('releases requests in order of precedence, a few per check', async () => {
		const queue = new gateway.call.RequestQueue(() => 100);
		const order: string[] = [];
		const ends = ['less urgent', 'second', 'first'].map(async (name, index) => {
			const {ended} = queue.wait(createRequest({
				priority: index === 0 ? 5 : 0, arrivedAt: index === 1 ? 50 : 10, hasCapacity: () => true,
			}));
			await ended;
			order.push(name);
		});
		await Promise.all(ends);
		expect(order).to.deep.equal(['first', 'second', 'less urgent']);
	});

	// Guards against refusals after a blocked event loop, whose timers run before the sockets are read.
	it('offers capacity to a request that expires, also if it becomes available only by data that is read after the timer', async () => {
		const server = net.createServer();
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const reader = net.connect((server.address() as net.AddressInfo).port, '127.0.0.1');
		const [writer] = await once(server, 'connection') as [net.Socket];
		let hasCapacity = false;
		reader.once('data', () => {
			hasCapacity = true;
		});
		const queue = new gateway.call.RequestQueue(() => 100);
		const {ended} = queue.wait(createRequest({expiresAt: 100, hasCapacity: () => hasCapacity}));
		writer.write('x');
		const blockedUntil = Date.now() + 60;
		while (Date.now() < blockedUntil) {
			// The event loop is blocked.
		}

		const outcome = await ended;
		reader.destroy();
		writer.destroy();
		server.close();
		expect(outcome).to.equal(gateway.call.WaitOutcome.CapacityAvailable);
	});

	// Guards against requests that are released together for the same capacity, so that one has to wait anew.
	it('releases a request only after the one before has used its capacity', async () => {
		const queue = new gateway.call.RequestQueue(() => 100);
		let capacity = 1;
		const waits = [10, 20].map(arrivedAt => queue.wait(createRequest({arrivedAt, hasCapacity: () => capacity > 0})));
		const use = async (ended: Promise<gateway.call.WaitOutcome>): Promise<gateway.call.WaitOutcome> => {
			const outcome = await ended;
			capacity -= 1;
			return outcome;
		};

		const second = use(waits[1]!.ended);
		expect(await use(waits[0]!.ended)).to.equal(gateway.call.WaitOutcome.CapacityAvailable);
		expect([queue.size, capacity]).to.deep.equal([1, 0]);
		waits[1]!.cancel();
		expect(await second).to.equal(gateway.call.WaitOutcome.Cancelled);
	});

	it('ends a wait that expires and one that is cancelled', async () => {
		const queue = new gateway.call.RequestQueue(() => 100);
		const expired = queue.wait(createRequest({expiresAt: 100}));
		const cancelled = queue.wait(createRequest({}));
		cancelled.cancel();
		const ends = await Promise.all([expired.ended, cancelled.ended]);
		expect(ends).to.deep.equal([gateway.call.WaitOutcome.Expired, gateway.call.WaitOutcome.Cancelled]);
	});

	it('ends the waits of requests for which no endpoint is left at one check, also behind those that wait on', async () => {
		let now = 100;
		let checks = 0;
		const queue = new gateway.call.RequestQueue(() => {
			now += 1;
			return now;
		});
		const waiting = queue.wait(createRequest({
			expiresAt: 150,
			hasCapacity() {
				checks += 1;
				return false;
			},
		}));
		const unservable = Array.from({length: 20}, () => queue.wait(createRequest({priority: 5, expiresAt: 120, hasCapacity: () => undefined})));
		const outcomes = await Promise.all(unservable.map(async ({ended}) => ended));
		waiting.cancel();
		expect([...new Set(outcomes)]).to.deep.equal([gateway.call.WaitOutcome.NoEndpoint]);
		expect(checks).to.equal(1);
	});

	// Guards against refusing short requests because hundreds of long prompts, which do not take precedence, are waiting.
	it('counts only the tokens of requests that take precedence', async () => {
		const queue = new gateway.call.RequestQueue(() => 100);
		const waits = Array.from({length: 100}, () => queue.wait(createRequest({priority: 6, prefillTokens: 17_000})));
		waits.push(queue.wait(createRequest({priority: 1, prefillTokens: 200})));
		expect(queue.countTokensAhead(createRequest({priority: 1}))).to.equal(200);
		expect(queue.countTokensAhead(createRequest({priority: 6}))).to.equal(1_700_200);
		for (const {cancel} of waits) {
			cancel();
		}

		await Promise.all(waits.map(async each => each.ended));
	});
});
