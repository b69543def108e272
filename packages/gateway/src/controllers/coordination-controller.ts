import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as fleetState from '../placement/fleet-state.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as coordinationKeys from './coordination-keys.js';
import * as leaderCodec from './leader-codec.js';
import * as planCodec from './plan-codec.js';
import type * as storeFeed from './store-feed.js';

/** The leader as last read from the store. */
export type ObservedLeader = leaderCodec.Leader & {
	/** Revision of the leader's key, which is its fencing token. */
	readonly revision: number;
};

/** State shared by the VMs, as last read from the store. */
export type CoordinationState = {
	/** Absent while there is no leader. */
	leader?: ObservedLeader;
	/** Revision of the roll-out plan's key; 0 while there is none. */
	planRevision: number;
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

/**
 * How long a VM whose key has expired still counts as one that shares limits, in milliseconds, since an outage of the store
 * makes all keys expire.
 */
const lapsedVmRetentionMs = 15_000;

/** Tracks the keys by which the VMs coordinate: the leader, the roll-out plan and the list of VMs. */
export class CoordinationController implements storeFeed.StoreFeedListener {
	readonly state: CoordinationState = {planRevision: 0};
	/** Whether the keys have been read since the start of the process. */
	hasSnapshot = false;
	readonly #vms = new Map<string, VmRecord>();

	constructor(
		private readonly fleet: fleetState.FleetState,
		private readonly clock: clocks.Clocks,
		private readonly log: eventLog.EventLog,
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

		for (const entry of entries) {
			this.#applyChange({key: entry.key, entry});
		}

		this.#updateVms();
	}

	onChange(change: clients.kv.KvChange): void {
		this.#applyChange(change);
		this.#updateVms();
	}

	/** Drops VMs whose keys expired long ago. */
	tick(): void {
		this.#updateVms();
	}

	/** Applies a plan that this VM wrote itself, before the feed reports it. */
	recordOwnPlan(plan: core.rollout.RolloutPlan, revision: number): void {
		if (revision > this.state.planRevision) {
			this.state.planRevision = revision;
			this.#applyPlan(plan);
		}
	}

	/** Returns the names of all VMs. */
	listVmNames(): string[] {
		return [...this.#vms.keys()];
	}

	/** Returns the addresses of the other VMs. */
	listPeerAddresses(ownVm: string): string[] {
		return [...this.#vms].filter(([vm]) => vm !== ownVm).map(([, record]) => record.address);
	}

	#applyChange(change: clients.kv.KvChange): void {
		if (change.key === coordinationKeys.leaderKey) {
			this.#applyLeader(change.entry);
		} else if (change.key === coordinationKeys.rolloutPlanKey) {
			this.#applyPlanEntry(change.entry);
		} else if (change.key.startsWith(coordinationKeys.vmKeyPrefix)) {
			this.#applyVm(change);
		}
	}

	#applyLeader(entry: clients.kv.KvEntry | undefined): void {
		this.state.leader = entry && {...leaderCodec.decodeLeader(entry.value), revision: entry.revision};
	}

	#applyPlanEntry(entry: clients.kv.KvEntry | undefined): void {
		if (entry === undefined || entry.revision <= this.state.planRevision) {
			return;
		}

		this.state.planRevision = entry.revision;
		this.#applyPlan(planCodec.decodePlan(entry.value));
	}

	#applyPlan(plan: core.rollout.RolloutPlan): void {
		const previousPlan = this.fleet.plan;
		this.fleet.plan = plan;
		this.state.planSeenAt = this.clock.suspendAwareNow();
		const suspendAwareNow = this.clock.suspendAwareNow();
		const clockOffsetMs = suspendAwareNow - this.clock.wallNow();
		for (const {model, version, seenAt} of plan.named) {
			this.fleet.targets.addReported(model, version, seenAt + clockOffsetMs, suspendAwareNow);
		}

		// Only steps that this plan newly reports as loaded are observations; the engine may have changed since the earlier ones.
		const now = this.clock.monotonicNow();
		for (const step of core.rollout.listNewlyLoaded(plan, previousPlan)) {
			this.fleet.registry.recordObservedWeights(step.endpoint, step.bornAt, step, now);
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

	#updateVms(): void {
		const now = this.clock.monotonicNow();
		for (const [vm, {expiresAt}] of this.#vms) {
			if (expiresAt !== undefined && expiresAt <= now) {
				this.#vms.delete(vm);
			}
		}

		const vms = Math.max(1, this.#vms.size);
		if (vms !== this.fleet.vmCount) {
			this.log.write(eventLog.LogEvent.VmsChanged, {vms});
		}

		this.fleet.vmCount = vms;
		this.fleet.peers.retain(new Set(this.#vms.keys()));
	}
}
