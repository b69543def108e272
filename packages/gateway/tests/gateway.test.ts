import {performance} from 'node:perf_hooks';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

describe('Gateway', () => {
	// Guards against a process that exits at a second signal, while requests are in progress that the first stop waits for.
	it('reports that it has stopped only after the requests in progress have ended, also to a second call', async () => {
		const clock = {monotonicNow: () => performance.now(), suspendAwareNow: () => performance.now()};
		const order: string[] = [];
		const program = new gateway.Gateway({
			settings: {readinessPath: '/ready', graceMs: 20_000},
			server: {
				beginShutdown: () => undefined,
				async finishShutdown() {
					order.push('requests ended');
				},
				close: () => undefined,
				awaitLoggedEnds: async () => undefined,
			},
			dispatcher: {beginShutdown: () => undefined},
			feed: {stop: () => undefined},
			loadController: {stop: () => undefined},
			peerExchange: {close: () => undefined},
			quotaController: {beginShutdown: () => undefined},
			tunnels: {beginShutdown: () => undefined, close: () => undefined},
			leaseController: {stop: async () => undefined},
			clock,
			log: {write: () => undefined},
		} as unknown as gateway.GatewayComponents);
		const stop = async (name: string): Promise<void> => {
			await program.stop();
			order.push(name);
		};

		await Promise.all([stop('first'), stop('second')]);
		expect(order).to.deep.equal(['requests ended', 'first', 'second']);
	}).timeout(20_000);
});
