import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as manualClock from '../support/manual-clock.js';
import * as memoryStore from '../support/memory-store.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {quarantineKey} = gateway.controllers;

class Vm {
	readonly clock = new manualClock.ManualClock();
	/** Error of the VM's wall clock, in milliseconds. */
	wallErrorMs = 0;
	readonly lease = {isLeading: true};
	readonly quarantine = new gateway.controllers.QuarantineController({
		clock: this.clock, log: {write: () => undefined}, onPendingEvidence: () => undefined, onQuarantined: () => undefined,
	});

	readonly store: gateway.controllers.QuarantineStore;

	constructor(private readonly shared: memoryStore.MemoryStore) {
		this.store = new gateway.controllers.QuarantineStore({
			store: shared.client, lease: this.lease, quarantine: this.quarantine, log: {write: () => undefined},
			clock: {
				monotonicNow: () => this.clock.now, suspendAwareNow: () => this.clock.now, wallNow: () => this.clock.now + this.wallErrorMs,
			},
		});
		this.read();
	}

	/** Reads the store anew. */
	read(): void {
		const {now} = this.clock;
		const changed = {after: -Infinity, assumed: now, before: now};
		this.store.onSnapshot([...this.shared.keys.values()].map(({entry}) => entry), {startedAt: now, changed});
	}

	/** Reads what another VM has written, at once. */
	readPromptly(): void {
		const {now} = this.clock;
		const {entry} = this.shared.keys.get(quarantineKey)!;
		this.store.onChange({key: quarantineKey, entry}, {
			startedAt: now - 500, changed: {
				after: now - 1000, assumed: now, before: now, isPrompt: true,
			},
		});
	}

	/** Records ends on a part, three by default. */
	quarantinePart(part: string, ends = 3): void {
		for (let number = 1; number <= ends; number++) {
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
		other.store.onChange({key: quarantineKey, entry: {key: quarantineKey, value: new Uint8Array([1, 2]), revision: 9}}, {
			startedAt: 0, changed: {after: 0, assumed: 0, before: 0},
		});
		expect(other.quarantine.hasQuarantinedParts).to.equal(false);
	});

	const lifetime = core.quarantine.defaultPartQuarantineOptions.lifetimeMs;

	// Guards against evidence that expires at once or never: the wall clock of the VM that wrote it is wrong.
	for (const errorMs of [-400_000, -2400, 2400, 400_000]) {
		it(`counts the age of evidence that was read promptly from the read, with a clock of the leader that is wrong by ${errorMs} ms`, async () => {
			const shared = new memoryStore.MemoryStore();
			const [leader, other] = [new Vm(shared), new Vm(shared)];
			leader.wallErrorMs = errorMs;
			leader.quarantinePart('m/bad');
			await leader.tick(1000);
			other.clock.now = 1000;
			other.readPromptly();
			// The last end was at -100.
			expect(other.quarantine.match(['m/bad'])?.releasedInMs).to.equal(lifetime - 1100);
		});
	}

	// Guards against ages by wall clocks that keep a VM from the measured ones: an earlier completion seems to be later than the ends.
	it('replaces evidence whose age rests on wall clocks by that of other VMs', async () => {
		const shared = new memoryStore.MemoryStore();
		const leader = new Vm(shared);
		leader.wallErrorMs = -5000;
		// A part that was completed shortly before needs more ends.
		leader.quarantinePart('m/bad', 6);
		await leader.tick(1000);
		const started = new Vm(shared);
		started.clock.now = 1000;
		started.read();
		expect(started.quarantine.match(['m/bad'])?.releasedInMs).to.equal(lifetime - 6100);
		expect(started.quarantine.takeDigest()).to.equal(undefined);
		const {evidence} = leader.quarantine.describeQuarantined();
		started.quarantine.applyDigest({...evidence, soundParts: [{part: 'm/bad', ageMs: 3000}]});
		expect(started.quarantine.match(['m/bad'])?.releasedInMs).to.equal(lifetime - 1100);
	});

	it('takes an entry that it has read before for as old as the wall clocks say, when it reads the store anew', async () => {
		const shared = new memoryStore.MemoryStore();
		const vm = new Vm(shared);
		vm.quarantinePart('m/bad');
		await vm.tick(1000);
		const reader = new Vm(shared);
		reader.clock.now = lifetime + 5000;
		reader.quarantine.tick();
		const entries = [shared.keys.get(quarantineKey)!.entry];
		reader.store.onSnapshot(entries, {startedAt: 0, changed: {after: lifetime + 3000, assumed: lifetime + 4000, before: lifetime + 5000}});
		expect(reader.quarantine.hasQuarantinedParts).to.equal(false);
	});
});
