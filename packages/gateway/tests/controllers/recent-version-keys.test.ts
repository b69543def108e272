import * as core from '@bluebellmast/core';
import * as kv from '@bluebellmast/kv';
import * as chai from 'chai';
import * as purify from 'purify-ts';
import * as manualClock from '../support/manual-clock.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const lifetimeMs = 4800;
const unknown = {code: kv.kv.KvErrorCode.OutcomeUnknown, message: 'scripted'};

function createKeys(): {
	readonly keys: gateway.controllers.RecentVersionKeys;
	readonly clock: manualClock.ManualClock;
	readonly targets: core.rollout.WeightTargets;
	readonly leases: number[];
	readonly written: string[];
	readonly recorded: string[];
	/** Whether the store responds, and its shortest lease. */
	readonly store: {isAvailable: boolean; minLeaseMs: number};
} {
	const clock = new manualClock.ManualClock();
	const targets = new core.rollout.WeightTargets();
	const leases: number[] = [];
	const written: string[] = [];
	const recorded: string[] = [];
	const store = {isAvailable: true, minLeaseMs: 1000};
	const keys = new gateway.controllers.RecentVersionKeys({
		targets, clock, lifetimeMs,
		coordination: {
			recordRecentVersion(key) {
				recorded.push(key);
			},
		},
		store: {
			async grantLease(ttlMs): kv.kv.KvResult<kv.kv.KvLease> {
				leases.push(ttlMs);
				return store.isAvailable ? purify.Right({id: 'lease', ttlMs: Math.max(ttlMs, store.minLeaseMs), era: 1}) : purify.Left(unknown);
			},
			async compareAndSwap(key, expectedRevision, _value, leaseId) {
				written.push(`${key} ${expectedRevision} ${leaseId}`);
				return purify.Right({swapped: false, revision: 5});
			},
		},
	});
	return {
		keys, clock, targets, leases, written, recorded, store,
	};
}

function readPromptly(targets: core.rollout.WeightTargets, version: number, at: number): void {
	targets.observe('m', version, {
		after: at - 1000, assumed: at, before: at, isPrompt: true,
	});
}

// Guards against an age that is assumed too small after a restart of all VMs: the lease of the key ends with the bound, whatever the clocks say.
describe('RecentVersionKeys', () => {
	it('writes a key whose lease ends when the version has reached the age, once', async () => {
		const {keys, clock, targets, leases, written, recorded} = createKeys();
		readPromptly(targets, 2, 0);
		clock.now = 300;
		await keys.tick();
		clock.now = 2000;
		await keys.tick();
		expect(leases).to.deep.equal([4500]);
		expect(written).to.deep.equal(['bluebellmast/versions/2/m 0 lease']);
		expect(recorded).to.deep.equal(['bluebellmast/versions/2/m']);
		expect(keys.has('m', 2)).to.equal(true);
		expect(keys.has('m', 3)).to.equal(false);
	});

	it('writes none for versions whose age is assumed, or for whose lease too little time is left', async () => {
		const {keys, clock, targets, leases} = createKeys();
		targets.observe('m', 2, {after: -Infinity, assumed: 0, before: 0});
		readPromptly(targets, 3, 0);
		clock.now = 2801;
		await keys.tick();
		expect(leases).to.deep.equal([]);
	});

	it('writes none under a lease that lasts longer than was asked for', async () => {
		const {keys, targets, written, store} = createKeys();
		store.minLeaseMs = 6000;
		readPromptly(targets, 2, 0);
		await keys.tick();
		expect(written).to.deep.equal([]);
		expect(keys.has('m', 2)).to.equal(false);
	});

	it('tries again a second after a call without a response', async () => {
		const {keys, clock, targets, leases, store} = createKeys();
		readPromptly(targets, 2, 0);
		store.isAvailable = false;
		await keys.tick();
		store.isAvailable = true;
		clock.now = 900;
		await keys.tick();
		expect(keys.has('m', 2)).to.equal(false);
		clock.now = 1000;
		await keys.tick();
		expect(leases).to.deep.equal([4800, 3800]);
		expect(keys.has('m', 2)).to.equal(true);
	});
});
