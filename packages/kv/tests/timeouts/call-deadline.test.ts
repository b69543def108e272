import * as timers from 'node:timers/promises';
import * as chai from 'chai';
import * as clients from '@bluebellmast/kv';

const {expect} = chai;

describe('CallDeadline', () => {
	it('aborts with a timeout after its time', async () => {
		const deadline = new clients.timeouts.CallDeadline(20);
		await timers.setTimeout(60);
		expect((deadline.signal.reason as Error).name).to.equal('TimeoutError');
	});

	it('aborts with the reason of the caller, also if that has aborted before', () => {
		const controller = new AbortController();
		const during = new clients.timeouts.CallDeadline(10_000, controller.signal);
		expect(during.signal.aborted).to.equal(false);
		controller.abort('given up');
		const after = new clients.timeouts.CallDeadline(10_000, controller.signal);
		expect([during.signal.reason, after.signal.reason]).to.deep.equal(['given up', 'given up']);
		during.clear();
		after.clear();
	});

	it('aborts no more once it was cleared', async () => {
		const controller = new AbortController();
		const deadline = new clients.timeouts.CallDeadline(20, controller.signal);
		deadline.clear();
		controller.abort();
		await timers.setTimeout(60);
		expect(deadline.signal.aborted).to.equal(false);
	});
});
