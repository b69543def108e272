import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const address = '10.0.0.9:1';

describe('CacheStoreController', () => {
	it('polls on two VMs, and on others after the VMs or the store have changed', async () => {
		let vms: readonly string[] = ['vm-1', 'vm-2', 'vm-3', 'vm-4'];
		let storeAddress = address;
		const polls: string[] = [];
		const log: gateway.util.EventLog = {write: () => undefined};
		const followers = vms.map(vm => new gateway.controllers.CacheStoreController({
			vm,
			config: {
				get table() {
					return {config: {cacheStores: [{address: storeAddress}]}};
				},
			} as unknown as core.routing.ConfigState,
			coordination: {listVmNames: () => vms} as unknown as gateway.controllers.CoordinationController,
			pauses: new gateway.placement.EndpointPauses({clock: {suspendAwareNow: () => 0}, log, random: () => 0}),
			log,
			publishObservations: () => undefined,
			changeFeed: {
				async poll() {
					polls.push(vm);
					return new Promise(() => {}); // eslint-disable-line @typescript-eslint/no-empty-function -- Waits for changes.
				},
			},
		}));
		const pollAll = (): string[] => {
			polls.length = 0;
			for (const follower of followers) {
				void follower.tick();
			}

			return [...polls];
		};

		const [first, second, third] = core.util.rankByRendezvous(address, vms);
		expect(pollAll()).to.have.members([first!, second!]);
		expect(pollAll()).to.have.members([first!, second!]);
		vms = vms.filter(vm => vm !== first);
		expect(pollAll()).to.have.members([second!, third!]);
		storeAddress = '10.0.0.8:1';
		expect(pollAll()).to.have.members(core.util.rankByRendezvous(storeAddress, vms).slice(0, 2));
	});
});
