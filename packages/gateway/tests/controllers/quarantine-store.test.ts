import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as manualClock from '../support/manual-clock.js';
import * as memoryStore from '../support/memory-store.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {quarantineKey} = gateway.controllers;

class Vm {
	readonly clock = new manualClock.ManualClock();
	readonly lease = {isLeading: true};
	readonly quarantine = new gateway.controllers.QuarantineController({
		clock: this.clock, log: {write: () => undefined}, onPendingEvidence: () => undefined, onQuarantined: () => undefined,
	});

	readonly store: gateway.controllers.QuarantineStore;

	constructor(private readonly shared: memoryStore.MemoryStore) {
		this.store = new gateway.controllers.QuarantineStore({
			store: shared.client, lease: this.lease, quarantine: this.quarantine, clock: this.clock, log: {write: () => undefined},
		});
		this.read();
	}

	/** Reads the store anew. */
	read(): void {
		this.store.onSnapshot([...this.shared.keys.values()].map(({entry}) => entry));
	}

	/** Records three ends on a part. */
	quarantinePart(part: string): void {
		for (const number of [1, 2, 3]) {
			this.quarantine.recordInterruption({
				endpoint: {id: `${part}-${number}`, bornAt: 1}, at: this.clock.now - (number * 100),
				requests: [{sharedParts: [part], requestKey: `own-${number}`, hasBegun: true}],
			});
		}
	}

	async tick(afterMs = 2000): Promise<void> {
		this.clock.now += afterMs;
		await this.store.tick();
	}
}

describe('QuarantineStore', () => {
	it('stores the evidence of the leading VM once, which others apply with its age', async () => {
		const shared = new memoryStore.MemoryStore();
		const leader = new Vm(shared);
		leader.quarantinePart('m/bad');
		await leader.tick();
		await leader.tick();
		expect(shared.changes).to.equal(1);
		const other = new Vm(shared);
		other.clock.now = 60_000;
		other.read();
		expect(other.quarantine.match(['m/bad'])?.releasedInMs).to.be.within(200_000, 240_000);
	});

	it('stores nothing before it has read the store, while another VM leads, or while no part is quarantined', async () => {
		const shared = new memoryStore.MemoryStore();
		const vm = new Vm(shared);
		await vm.tick();
		vm.lease.isLeading = false;
		vm.quarantinePart('m/bad');
		await vm.tick();
		expect(shared.calls).to.equal(0);
	});

	it('does not overwrite what it has not read, and stores again after a read', async () => {
		const shared = new memoryStore.MemoryStore();
		const [first, second] = [new Vm(shared), new Vm(shared)];
		first.quarantinePart('m/bad');
		await first.tick();
		second.quarantinePart('m/worse');
		await second.tick();
		expect(shared.changes).to.equal(1);
		second.read();
		await second.tick();
		expect(shared.changes).to.equal(2);
		expect(String(shared.keys.get(quarantineKey)!.entry.value)).to.contain('m/bad m/worse');
	});

	it('keeps since when a part is quarantined, when another VM stores it anew with a further part', async () => {
		const shared = new memoryStore.MemoryStore();
		const first = new Vm(shared);
		first.quarantinePart('m/bad');
		await first.tick();
		const second = new Vm(shared);
		second.clock.now = 60_000;
		second.read();
		second.quarantinePart('m/worse');
		await second.tick();
		const stored = gateway.controllers.decodeStoredEvidence(shared.keys.get(quarantineKey)!.entry.value);
		expect(stored).to.deep.include({parts: 'm/bad m/worse', since: Object.fromEntries([['m/bad', 2000], ['m/worse', 62_000]]), writtenAt: 62_000});
	});

	it('clears the stored evidence when all parts are released, and ignores what it can\'t read', async () => {
		const shared = new memoryStore.MemoryStore();
		const vm = new Vm(shared);
		vm.quarantinePart('m/bad');
		await vm.tick();
		vm.clock.now += core.quarantine.defaultPartQuarantineOptions.lifetimeMs;
		vm.quarantine.tick();
		await vm.tick();
		expect(shared.changes).to.equal(2);
		const other = new Vm(shared);
		other.store.onChange({key: quarantineKey, entry: {key: quarantineKey, value: new Uint8Array([1, 2]), revision: 9}});
		expect(other.quarantine.hasQuarantinedParts).to.equal(false);
	});
});
