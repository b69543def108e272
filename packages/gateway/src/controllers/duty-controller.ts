import * as buffer from 'node:buffer';
import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as fleetState from '../placement/fleet-state.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as dutyKeys from './duty-keys.js';
import * as leaderCodec from './leader-codec.js';
import * as planCodec from './plan-codec.js';
import type * as storeFeed from './store-feed.js';

/** The leader's key as last seen. */
export type SeenLeader = leaderCodec.Leader & {
	/** Revision of the key, which is the leader's fencing number. */
	readonly revision: number;
};

/** What the VMs have agreed on, as last seen. */
export type DutyView = {
	/** Absent while there is no leader. */
	leader?: SeenLeader;
	/** Revision of the plan's key; 0 while there is none. */
	planRevision: number;
	/** When the plan was seen last, in wall-safe milliseconds; absent while there is none. */
	planSeenAt?: number;
};

/** A VM of the gateway. */
type Member = {
	/** `IP:PORT` at which it takes digests of load. */
	readonly address: string;
	/** When it no longer counts; absent while its key stands. */
	readonly forgetAt?: number;
};

/** How long a VM whose key lapsed still counts among those that share limits, in milliseconds: an outage of the store lets all lapse. */
const vmMemoryMs = 15_000;

/** Follows the keys by which the VMs agree on duties. */
export class DutyController implements storeFeed.FeedListener {
	readonly view: DutyView = {planRevision: 0};
	/** Whether the keys were read since the start. */
	isRead = false;
	readonly #vms = new Map<string, Member>();

	constructor(
		private readonly fleet: fleetState.FleetState,
		private readonly clock: clocks.Clocks,
		private readonly log: eventLog.EventLog,
	) {}

	onSnapshot(entries: readonly clients.kv.KvEntry[]): void {
		this.isRead = true;
		const keys = new Set(entries.map(entry => entry.key));
		for (const vm of this.#vms.keys()) {
			if (!keys.has(`${dutyKeys.vmsPrefix}${vm}`)) {
				this.#removeVm(vm);
			}
		}

		if (!keys.has(dutyKeys.leaderKey)) {
			this.view.leader = undefined;
		}

		for (const entry of entries) {
			this.#take({key: entry.key, entry});
		}

		this.#countVms();
	}

	onChange(change: clients.kv.KvChange): void {
		this.#take(change);
		this.#countVms();
	}

	/** Forgets VMs whose keys lapsed long ago. */
	tick(): void {
		this.#countVms();
	}

	/** Takes a plan that this VM wrote itself, before the feed tells it. */
	noteOwnPlan(plan: core.rollout.RolloutPlan, revision: number): void {
		if (revision > this.view.planRevision) {
			this.view.planRevision = revision;
			this.#usePlan(plan);
		}
	}

	/** Names of all VMs. */
	vmNames(): string[] {
		return [...this.#vms.keys()];
	}

	/** Addresses of the other VMs. */
	peerAddresses(ownVm: string): string[] {
		return [...this.#vms].filter(([vm]) => vm !== ownVm).map(([, member]) => member.address);
	}

	#take(change: clients.kv.KvChange): void {
		if (change.key === dutyKeys.leaderKey) {
			this.#takeLeader(change.entry);
		} else if (change.key === dutyKeys.planKey) {
			this.#takePlan(change.entry);
		} else if (change.key.startsWith(dutyKeys.vmsPrefix)) {
			this.#takeVm(change);
		}
	}

	#takeLeader(entry: clients.kv.KvEntry | undefined): void {
		this.view.leader = entry && {...leaderCodec.decodeLeader(entry.value), revision: entry.revision};
	}

	#takePlan(entry: clients.kv.KvEntry | undefined): void {
		if (entry === undefined || entry.revision <= this.view.planRevision) {
			return;
		}

		this.view.planRevision = entry.revision;
		this.#usePlan(planCodec.decodePlan(entry.value));
	}

	#usePlan(plan: core.rollout.RolloutPlan): void {
		const known = this.fleet.plan;
		this.fleet.plan = plan;
		this.view.planSeenAt = this.clock.suspendAwareNow();
		const offset = this.clock.monotonicNow() - this.clock.wallNow();
		for (const {model, version, seenAt} of plan.named) {
			this.fleet.targets.addReported(model, version, seenAt + offset);
		}

		// A step that was told before says nothing of what the engine holds now.
		const now = this.clock.monotonicNow();
		for (const step of core.rollout.listNewlyLoaded(plan, known)) {
			this.fleet.registry.noteObservedWeights(step.endpoint, step.bornAt, step, now);
		}

		const loading = plan.steps.filter(step => step.phase === core.rollout.RolloutPhase.Loading);
		this.log.write(eventLog.LogEvent.RolloutPlanSeen, {
			revision: this.view.planRevision, fence: plan.fence, loading: loading.map(step => step.endpoint).join(','),
		});
	}

	#takeVm(change: clients.kv.KvChange): void {
		const vm = change.key.slice(dutyKeys.vmsPrefix.length);
		if (change.entry === undefined) {
			this.#removeVm(vm);
		} else {
			this.#vms.set(vm, {address: buffer.Buffer.from(change.entry.value).toString()});
		}
	}

	#removeVm(vm: string): void {
		const member = this.#vms.get(vm);
		if (member !== undefined) {
			this.#vms.set(vm, {...member, forgetAt: member.forgetAt ?? this.clock.monotonicNow() + vmMemoryMs});
		}
	}

	#countVms(): void {
		const now = this.clock.monotonicNow();
		for (const [vm, {forgetAt}] of this.#vms) {
			if (forgetAt !== undefined && forgetAt <= now) {
				this.#vms.delete(vm);
			}
		}

		const vms = Math.max(1, this.#vms.size);
		if (vms !== this.fleet.vms) {
			this.log.write(eventLog.LogEvent.VmsChanged, {vms});
		}

		this.fleet.vms = vms;
		this.fleet.peers.retain(new Set(this.#vms.keys()));
	}
}
