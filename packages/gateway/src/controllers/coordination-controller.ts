import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as fleetState from '../placement/fleet-state.js';
import * as namingLog from '../placement/naming-log.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as coordinationKeys from './coordination-keys.js';
import * as leaderCodec from './leader-codec.js';
import * as planCodec from './plan-codec.js';
import type * as storeFeed from './store-feed.js';

/** The leader as last read from the store. */
export type ObservedLeader = leaderCodec.Leader & {
	/** Revision of the leader's key. */
	readonly revision: number;
	/** Era of the revision, if the store states one. */
	readonly era?: number;
};

/** State shared by the VMs, as last read from the store. */
export type CoordinationState = {
	/** Absent while there is no leader. */
	leader?: ObservedLeader;
	/** Revision of the roll-out plan's key; 0 while there is none. */
	planRevision: number;
	/** Era of `planRevision`, if the store states one. */
	planEra?: number;
	/** Whether the store has the plan that is in force; it may have lost it when it returned from a copy. */
	isPlanStored: boolean;
	/**
	 * When a new plan was last received, in milliseconds of a clock that also counts the time that the VM was suspended; absent
	 * while there is none.
	 */
	planSeenAt?: number;
};

/** A VM of the gateway. */
type VmRecord = {
	/** `IP:PORT` at which the VM receives load digests. */
	readonly address: string;
	/** When the VM is dropped, in milliseconds of the monotonic clock; absent while its key exists. */
	readonly expiresAt?: number;
};

/** Addresses of the VMs other than one of them. */
type PeerAddresses = {
	readonly ownVm: string;
	readonly addresses: readonly string[];
};

/**
 * How long a VM whose key has expired still counts as one that shares limits, in milliseconds, since an outage of the store
 * makes all keys expire.
 */
const lapsedVmRetentionMs = 15_000;

/** Tracks the keys by which the VMs coordinate: the leader, the roll-out plan and the list of VMs. */
export class CoordinationController implements storeFeed.StoreFeedListener {
	readonly state: CoordinationState = {planRevision: 0, isPlanStored: true};
	/** Whether the keys have been read since the start of the process and since the last return of the store from a copy. */
	hasSnapshot = false;
	readonly #vms = new Map<string, VmRecord>();
	/** Names of the VMs as last listed; absent after a change. */
	#vmNames: readonly string[] | undefined;
	/** Addresses of the VMs other than {@link PeerAddresses.ownVm} as last listed; absent after a change. */
	#peerAddresses: PeerAddresses | undefined;
	/** When the first of the lapsed VMs is dropped, in milliseconds of the monotonic clock. */
	#nextExpiryAt = Infinity;
	/** Era that the last return of the store began. */
	#era: number | undefined;
	/** Keys of versions that were named lately, as the store holds them. */
	readonly #recentVersionKeys = new Set<string>();
	/** Revision of the plan in force, and its era. */
	#applied: {readonly revision: number; readonly era?: number} = {revision: 0};

	constructor(
		private readonly fleet: fleetState.FleetState,
		private readonly clock: clocks.Clocks,
		private readonly log: eventLog.EventLog,
		/** Least age of a version whose key has ended, in milliseconds. */
		private readonly recentVersionMs = 0,
	) {}

	onSnapshot(entries: readonly clients.kv.KvEntry[]): void {
		this.hasSnapshot = true;
		const keys = new Set(entries.map(entry => entry.key));
		for (const vm of this.#vms.keys()) {
			if (!keys.has(`${coordinationKeys.vmKeyPrefix}${vm}`)) {
				this.#markVmLapsed(vm);
			}
		}

		if (!keys.has(coordinationKeys.leaderKey)) {
			this.state.leader = undefined;
		}

		if (this.#era !== undefined && !keys.has(coordinationKeys.rolloutPlanKey)) {
			this.state.isPlanStored = this.fleet.plan === core.rollout.emptyRolloutPlan;
		}

		this.#recentVersionKeys.clear();
		for (const entry of entries) {
			this.#applyChange({key: entry.key, entry});
		}

		this.#applyEndedVersions();
		this.#updateVms();
	}

	/**
	 * Handles a return of the store from a copy: its revisions are unknown until the next snapshot. The plan stays in force, and VMs
	 * are kept until they can have registered again.
	 */
	handleReturn(era: number): void {
		this.#era = era;
		this.hasSnapshot = false;
		this.state.leader = undefined;
		this.state.planRevision = 0;
		this.state.planEra = undefined;
	}

	onChange(change: clients.kv.KvChange): void {
		this.#applyChange(change);
		if (change.key.startsWith(coordinationKeys.vmKeyPrefix)) {
			this.#updateVms();
		}

		if (change.key === coordinationKeys.rolloutPlanKey || change.key.startsWith(coordinationKeys.recentVersionKeyPrefix)) {
			this.#applyEndedVersions();
		}
	}

	/** Records a key that this VM has written, before the feed reports it. */
	recordRecentVersion(key: string): void {
		this.#recentVersionKeys.add(key);
	}

	/** Drops VMs whose keys have expired for their retention time, and the loads reported by unlisted VMs. */
	tick(): void {
		if (this.#nextExpiryAt <= this.clock.monotonicNow() || this.fleet.peers.hasNonMembers) {
			this.#updateVms();
		}
	}

	/** Applies a plan that this VM wrote itself, before the feed reports it. */
	recordOwnPlan(plan: core.rollout.RolloutPlan, revision: number, era?: number): void {
		const isOutdated = era !== undefined && this.#era !== undefined && era < this.#era;
		if (!isOutdated && revision > this.state.planRevision) {
			this.#recordPlanRevision(revision, era);
			this.#applyPlan(plan);
		}
	}

	/** Number of VMs that share limits, at least 1. */
	get vmCount(): number {
		return this.fleet.vmCount;
	}

	/** Returns the names of all VMs; the same array until they change. */
	listVmNames(): readonly string[] {
		this.#vmNames ??= [...this.#vms.keys()];
		return this.#vmNames;
	}

	/** Returns whether an IP address is that of a VM. */
	isMemberAddress(address: string): boolean {
		return [...this.#vms.values()].some(vm => vm.address.startsWith(`${address}:`));
	}

	/** Returns the address of a VM; `undefined` if it is not listed. */
	findPeerAddress(vm: string): string | undefined {
		return this.#vms.get(vm)?.address;
	}

	/** Returns the addresses of the other VMs. */
	listPeerAddresses(ownVm: string): readonly string[] {
		if (this.#peerAddresses?.ownVm !== ownVm) {
			const addresses = [...this.#vms].filter(([vm]) => vm !== ownVm).map(([, record]) => record.address);
			this.#peerAddresses = {ownVm, addresses};
		}

		return this.#peerAddresses.addresses;
	}

	#applyChange(change: clients.kv.KvChange): void {
		if (change.key === coordinationKeys.leaderKey) {
			this.#applyLeader(change.entry);
		} else if (change.key === coordinationKeys.rolloutPlanKey) {
			this.#applyPlanEntry(change.entry);
		} else if (change.key.startsWith(coordinationKeys.vmKeyPrefix)) {
			this.#applyVm(change);
		} else if (change.key.startsWith(coordinationKeys.recentVersionKeyPrefix)) {
			this.#applyRecentVersion(change);
		}
	}

	#applyRecentVersion({key, entry}: clients.kv.KvChange): void {
		if (entry === undefined) {
			this.#recentVersionKeys.delete(key);
		} else {
			this.#recentVersionKeys.add(key);
		}
	}

	/** Applies the least age of versions whose keys have ended, which the store counts without the clock of a VM. */
	#applyEndedVersions(): void {
		const now = this.clock.suspendAwareNow();
		for (const {model, version, hasRecentKey} of this.fleet.plan.named) {
			if (hasRecentKey && !this.#recentVersionKeys.has(coordinationKeys.recentVersionKey(model, version))) {
				this.fleet.targets.addReported(model, version, now - this.recentVersionMs, now);
			}
		}

		namingLog.writeNamingChanges(this.fleet.targets, this.log, now);
	}

	#applyLeader(entry: clients.kv.KvEntry | undefined): void {
		this.state.leader = entry && {...leaderCodec.decodeLeader(entry.value), revision: entry.revision, era: entry.era};
	}

	#applyPlanEntry(entry: clients.kv.KvEntry | undefined): void {
		if (entry === undefined || entry.revision <= this.state.planRevision) {
			return;
		}

		this.#recordPlanRevision(entry.revision, entry.era);
		const plan = planCodec.decodePlan(entry.value);
		if (this.#isOlderPlan(plan, entry)) {
			this.state.isPlanStored = false;
			return;
		}

		this.#applyPlan(plan);
	}

	#recordPlanRevision(revision: number, era: number | undefined): void {
		this.state.planRevision = revision;
		this.state.planEra = era;
	}

	/**
	 * Returns whether a plan is older than the one in force: the store may have returned from a copy that was made before the plan in
	 * force was written. Fencing tokens rise over returns; plans of one leader were written in one era, whose revisions the copy has.
	 */
	#isOlderPlan(plan: core.rollout.RolloutPlan, entry: clients.kv.KvEntry): boolean {
		if (entry.era === undefined || this.#applied.era === undefined || entry.era === this.#applied.era) {
			return entry.era !== undefined && plan.fence < this.fleet.plan.fence;
		}

		return plan.fence < this.fleet.plan.fence || (plan.fence === this.fleet.plan.fence && entry.revision < this.#applied.revision);
	}

	#applyPlan(plan: core.rollout.RolloutPlan): void {
		this.#applied = {revision: this.state.planRevision, era: this.state.planEra};
		this.state.isPlanStored = true;
		const previousPlan = this.fleet.plan;
		this.fleet.plan = plan;
		this.state.planSeenAt = this.clock.suspendAwareNow();
		const suspendAwareNow = this.clock.suspendAwareNow();
		const clockOffsetMs = suspendAwareNow - this.clock.wallNow();
		for (const {model, version, seenAt, ageMs = 0} of plan.named) {
			// The version is at least as old as it was when the plan was written, whatever the wall clocks say.
			const reportedAt = Math.min(seenAt + clockOffsetMs, suspendAwareNow - ageMs);
			this.fleet.targets.addReported(model, version, reportedAt, suspendAwareNow);
		}

		namingLog.writeNamingChanges(this.fleet.targets, this.log, suspendAwareNow);

		// Only steps that this plan newly reports as loaded are observations; the engine may have changed since the earlier ones.
		for (const step of core.rollout.listNewlyLoaded(plan, previousPlan)) {
			this.fleet.registry.recordObservedWeights(step.endpoint, step.bornAt, step, suspendAwareNow);
		}

		const loading = plan.steps.filter(step => step.phase === core.rollout.RolloutPhase.Loading);
		this.log.write(eventLog.LogEvent.RolloutPlanSeen, {
			revision: this.state.planRevision, fence: plan.fence, loading: loading.map(step => step.endpoint).join(','),
		});
	}

	#applyVm(change: clients.kv.KvChange): void {
		const vm = change.key.slice(coordinationKeys.vmKeyPrefix.length);
		if (change.entry === undefined) {
			this.#markVmLapsed(vm);
		} else {
			this.#vms.set(vm, {address: buffer.Buffer.from(change.entry.value).toString()});
		}
	}

	#markVmLapsed(vm: string): void {
		const record = this.#vms.get(vm);
		if (record !== undefined) {
			this.#vms.set(vm, {...record, expiresAt: record.expiresAt ?? this.clock.monotonicNow() + lapsedVmRetentionMs});
		}
	}

	/** Drops VMs whose keys expired long ago, and derives what depends on the list of VMs. */
	#updateVms(): void {
		const now = this.clock.monotonicNow();
		this.#nextExpiryAt = Infinity;
		for (const [vm, {expiresAt = Infinity}] of this.#vms) {
			if (expiresAt <= now) {
				this.#vms.delete(vm);
			} else {
				this.#nextExpiryAt = Math.min(this.#nextExpiryAt, expiresAt);
			}
		}

		this.#vmNames = undefined;
		this.#peerAddresses = undefined;

		const vms = Math.max(1, this.#vms.size);
		if (vms !== this.fleet.vmCount) {
			this.log.write(eventLog.LogEvent.VmsChanged, {vms});
		}

		this.fleet.vmCount = vms;
		this.fleet.limits.setVms(this.listVmNames());
		this.fleet.peers.retain(new Set(this.#vms.keys()));
		this.fleet.peerReach.retain(new Set(this.#vms.keys()));
	}
}
