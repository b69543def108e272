import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

function waiter(changes: Partial<gateway.call.QueuedRequest>): gateway.call.QueuedRequest {
	return {
		priority: 0,
		targetLatencyMs: 500,
		prefillTokens: 300,
		arrivedAt: 0,
		deadlineAt: 5000,
		expiresAt: Infinity,
		hasCapacity: () => false,
		...changes,
	};
}

describe('WaitingRoom', () => {
	it('lets requests go in order of their worth, a few at a time', async () => {
		const room = new gateway.call.RequestQueue(() => 100);
		const order: string[] = [];
		const ends = ['less urgent', 'second', 'first'].map(async (name, index) => {
			const {ended} = room.wait(waiter({
				priority: index === 0 ? 5 : 0, arrivedAt: index === 1 ? 50 : 10, hasCapacity: () => true,
			}));
			await ended;
			order.push(name);
		});
		await Promise.all(ends);
		expect(order).to.deep.equal(['first', 'second', 'less urgent']);
	});

	it('ends a wait that has lasted as long as it may, and one that is given up', async () => {
		const room = new gateway.call.RequestQueue(() => 100);
		const expired = room.wait(waiter({expiresAt: 100}));
		const cancelled = room.wait(waiter({}));
		cancelled.cancel();
		const ends = await Promise.all([expired.ended, cancelled.ended]);
		expect(ends).to.deep.equal([gateway.call.WaitOutcome.Expired, gateway.call.WaitOutcome.Cancelled]);
	});

	// Pattern: hundreds of long prompts wait when short requests come, which must not be refused for the wait of the long ones.
	it('counts only what goes before a request', async () => {
		const room = new gateway.call.RequestQueue(() => 100);
		const waits = Array.from({length: 100}, () => room.wait(waiter({priority: 6, prefillTokens: 17_000})));
		waits.push(room.wait(waiter({priority: 1, prefillTokens: 200})));
		expect(room.countTokensAhead(waiter({priority: 1}))).to.equal(200);
		expect(room.countTokensAhead(waiter({priority: 6}))).to.equal(1_700_200);
		for (const {cancel} of waits) {
			cancel();
		}

		await Promise.all(waits.map(async each => each.ended));
	});
});
