import {expect} from 'chai';
import type * as core from '@bluebellmast/core';
import * as memoryPeers from './fakes/memory-peers.js';
import * as manualTime from './fakes/manual-time.js';
import * as router from '@bluebellmast/router';

const account: core.model.ClientAccount = {
	id: 'club', keyHashes: [], share: 1, allowed: [], limits: {requestsPerSecond: 10, burst: 20, tokensPerSecond: 1000},
};

async function createFleet(count: number, maxPeers: number) {
	const time = new manualTime.ManualTime();
	const links = new memoryPeers.MemoryLinks();
	const vms = Array.from({length: count}, (_, index) => `vm${index}`);
	const controllers = vms.map(vm => router.controllers.createUsageController({
		self: {vm, incarnation: 'i'},
		peers: links.create(vm),
		metrics: manualTime.noMetrics,
		accounts: () => [account],
		members: () => vms,
		clock: time,
		timer: time,
		maxPeers,
	}));
	for (const controller of controllers) {
		await controller.start(); // eslint-disable-line no-await-in-loop
	}

	return {time, links, controllers};
}

function admitAll(controller: router.controllers.UsageController): number {
	let admitted = 0;
	while (controller.admit(account, 0) === 0) {
		admitted += 1;
	}

	return admitted;
}

describe('UsageController', () => {
	for (const [count, maxPeers] of [[3, 8], [9, 2]] as const) {
		it(`enforces the limit of an account over ${count} routers that each send up to ${maxPeers} messages per gossip round`, async () => {
			const {time, links, controllers} = await createFleet(count, maxPeers);
			for (const controller of controllers) {
				controller.admit(account, 0);
			}

			await time.advance(4000);
			let sent = 0;
			links.shouldDrop = () => {
				sent += 1;
				return false;
			};

			expect(admitAll(controllers[0]!)).to.equal(account.limits.burst);
			await time.advance(200);
			expect(sent).to.be.at.most(maxPeers * count);
			await time.advance(1000);
			// The records take the whole burst from each bucket; at 10 requests per second, at most 12 are refilled in these 1.2 s.
			for (const controller of controllers) {
				expect(admitAll(controller)).to.be.at.most(12);
			}
		});
	}

	it('sends no messages while no requests are admitted', async () => {
		const {time, links, controllers} = await createFleet(3, 8);
		controllers[0]!.admit(account, 0);
		await time.advance(400);
		links.shouldDrop = () => {
			throw new Error('a message was sent');
		};

		await time.advance(2000);
	});
});
