import {Buffer} from 'node:buffer';
import * as chai from 'chai';
import type * as kv from '@bluebellmast/kv';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const {controllers} = gateway;

type Fixture = {
	readonly fleet: gateway.placement.FleetState;
	readonly coordination: gateway.controllers.CoordinationController;
	/** Moves the time on, and runs the periodic task. */
	readonly tick: (afterMs: number) => void;
};

function vmEntry(vm: string, address = `${vm}:1`): kv.kv.KvEntry {
	return {key: `${controllers.vmKeyPrefix}${vm}`, value: Buffer.from(address), revision: 1};
}

function putVm(coordination: gateway.controllers.CoordinationController, vm: string, address?: string): void {
	const entry = vmEntry(vm, address);
	coordination.onChange({key: entry.key, entry});
}

function removeVm(coordination: gateway.controllers.CoordinationController, vm: string): void {
	coordination.onChange({key: `${controllers.vmKeyPrefix}${vm}`});
}

/** Creates a controller that has read the given VMs. */
function createFixture(vms: readonly string[]): Fixture {
	let now = 1000;
	const fleet = new gateway.placement.FleetState();
	const coordination = new controllers.CoordinationController(fleet, {monotonicNow: () => now, suspendAwareNow: () => now, wallNow: () => now}, {write: () => undefined});
	coordination.onSnapshot(vms.map(vm => vmEntry(vm)));
	const tick = (afterMs: number): void => {
		now += afterMs;
		coordination.tick();
	};

	return {fleet, coordination, tick};
}

function applyDigest(fleet: gateway.placement.FleetState, vm: string, sequence: number): void {
	fleet.peers.applyDigest({
		vm, sequence, endpoints: [{endpoint: 'a', active: 1, prefillTokens: 0}], cacheObservations: [],
	}, 1000);
}

describe('CoordinationController', () => {
	it('lists the VMs anew only after one of their keys changed', () => {
		const {coordination, tick} = createFixture(['vm-1', 'vm-2']);
		const names = coordination.listVmNames();
		const addresses = coordination.listPeerAddresses('vm-1');
		expect(addresses).to.deep.equal(['vm-2:1']);
		tick(100);
		coordination.onChange({key: controllers.leaderKey});
		expect(coordination.listVmNames()).to.equal(names);
		expect(coordination.listPeerAddresses('vm-1')).to.equal(addresses);
		expect(coordination.listPeerAddresses('vm-2')).to.deep.equal(['vm-1:1']);
		putVm(coordination, 'vm-3');
		putVm(coordination, 'vm-2', 'moved:1');
		expect(coordination.listVmNames()).to.deep.equal(['vm-1', 'vm-2', 'vm-3']);
		expect(coordination.listPeerAddresses('vm-1')).to.deep.equal(['moved:1', 'vm-3:1']);
		coordination.onSnapshot([vmEntry('vm-1'), vmEntry('vm-4')]);
		expect(coordination.listVmNames()).to.include('vm-4');
	});

	it('counts a VM whose key expired for 15 seconds, and again if it returns', () => {
		const {fleet, coordination, tick} = createFixture(['vm-1', 'vm-2', 'vm-3']);
		removeVm(coordination, 'vm-2');
		tick(5000);
		removeVm(coordination, 'vm-3');
		tick(9999);
		expect(fleet.vmCount).to.equal(3);
		tick(1);
		expect(fleet.vmCount).to.equal(2);
		putVm(coordination, 'vm-3');
		tick(60_000);
		expect(fleet.vmCount).to.equal(2);
		expect(coordination.listVmNames()).to.deep.equal(['vm-1', 'vm-3']);
	});

	it('drops digests of VMs that are not listed at the next tick, also before it has read the store', () => {
		const {fleet, tick} = createFixture(['vm-1', 'vm-2']);
		applyDigest(fleet, 'vm-2', 1);
		applyDigest(fleet, 'vm-9', 1);
		expect(fleet.peers.countActive('a', 1000)).to.equal(2);
		tick(1);
		expect(fleet.peers.countActive('a', 1001)).to.equal(1);
		applyDigest(fleet, 'vm-9', 2);
		tick(1);
		expect(fleet.peers.countActive('a', 1002)).to.equal(1);

		const clock: gateway.util.Clocks = {monotonicNow: () => 1000, suspendAwareNow: () => 1000, wallNow: () => 1000};
		const unread = new gateway.placement.FleetState();
		applyDigest(unread, 'vm-2', 1);
		new controllers.CoordinationController(unread, clock, {write: () => undefined}).tick();
		expect(unread.peers.countActive('a', 1000)).to.equal(0);
	});

	it('does not look at the VMs at a tick while nothing changed', () => {
		const {fleet, tick} = createFixture(Array.from({length: 195}, (_, index) => `vm-${index}`));
		let retained = 0;
		const {retain} = fleet.peers;
		fleet.peers.retain = vms => {
			retained += 1;
			retain.call(fleet.peers, vms);
		};

		for (let vm = 0; vm < 195; vm++) {
			applyDigest(fleet, `vm-${vm}`, 1);
			tick(100);
		}

		expect(retained).to.equal(0);
	});

	const key = controllers.recentVersionKey('m', 2);
	const recentKey: kv.kv.KvEntry = {key, value: Buffer.from(''), revision: 3};

	/** Returns the age of version 2 on a VM that starts at 10,000 with what the store holds, after some changes. */
	function ageAfter(row: readonly unknown[], entries: readonly kv.kv.KvEntry[], changes: readonly kv.kv.KvChange[] = []): number {
		const fleet = new gateway.placement.FleetState();
		const clock: gateway.util.Clocks = {monotonicNow: () => 10_000, suspendAwareNow: () => 10_000, wallNow: () => 10_000};
		const coordination = new controllers.CoordinationController(fleet, clock, {write: () => undefined}, 4800);
		fleet.targets.observe('m', 2, {after: -Infinity, assumed: 7000, before: 10_000});
		const value = Buffer.from(JSON.stringify({fence: 1, named: [row], steps: []}));
		coordination.onSnapshot([{key: controllers.rolloutPlanKey, value, revision: 4}, ...entries]);
		for (const change of changes) {
			coordination.onChange(change);
		}

		return fleet.targets.outdatedForMs('m', 1, 10_000);
	}

	const inFuture = 1_000_000;
	it('takes a version to be as old as the lease of its key lasted, once the key has ended', () => {
		expect(ageAfter(['m', 2, inFuture, 40, true], [])).to.equal(4800);
		expect(ageAfter(['m', 2, inFuture, 40, true], [recentKey])).to.equal(3000);
		expect(ageAfter(['m', 2, inFuture, 40, true], [recentKey], [{key}])).to.equal(4800);
		expect(ageAfter(['m', 2, inFuture, 40, true], [], [{key, entry: recentKey}])).to.equal(4800);
	});

	it('concludes nothing from a key that was never written', () => {
		expect(ageAfter(['m', 2, inFuture, 40], [])).to.equal(3000);
		expect(ageAfter(['m', 2, inFuture], [])).to.equal(3000);
	});
});
