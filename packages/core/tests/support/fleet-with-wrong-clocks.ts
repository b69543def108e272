import * as core from '@bluebellmast/core';

const tickMs = 50;
const model = 'm';
const pollIntervalMs = 1000;
const digestIntervalMs = 200;
const peersPerDigest = 6;
const maxDigestDelayMs = 60;
const minLeaseMs = 2000;

/** Time that an engine takes to load weights, in milliseconds. */
export const loadMs = 900;

/** Time for which replaced weights may be used, in milliseconds. */
export const maxOutdatedMs = 6000;
/** Age of a version at which its key in the store ends, in milliseconds. */
const recentVersionMs = maxOutdatedMs - core.rollout.minStartMarginMs;
/** Time from the start of a VM, or from its return from a cut, until digests of others have arrived, in milliseconds. */
export const informedWithinMs = 600;

/** What happens in a simulated roll-out. */
export type FleetOptions = {
	readonly vmCount: number;
	readonly seed: number;
	readonly durationMs: number;
	/** True times at which the versions 2, 3 and so on are named. */
	readonly namedAt: readonly number[];
	/** Largest jump of a wall clock in either direction, in milliseconds; 0 for clocks that are right. */
	readonly maxJumpMs?: number;
	/** Share of the VMs that jump, restart or are cut off from the store in each second. */
	readonly troubleShare?: number;
	/** When all VMs restart at once, and the error of the leader's wall clock until then. */
	readonly restart?: {readonly at: number; readonly downMs: number; readonly leaderErrorMs: number};
	/** Whether VMs send each other ages; true by default. */
	readonly areAgesSent?: boolean;
};

/** What was found. */
export type FleetOutcome = {
	/** Estimates that made a version more than the margin younger than it is, on VMs that have received digests. */
	younger: number;
	/** Estimates that lie before the interval that the VM's own reads allow. */
	olderThanInterval: number;
	/** Times at which a VM would have let a request start on weights that may no longer be used. */
	lateStarts: number;
	/** Samples of a VM that had no engine to send a request to, and all samples. */
	withoutEngine: number;
	samples: number;
	/** Sum over the samples of the share of engines that the VM could send a request to. */
	usableShares: number;
	/** Longest time for which a VM had no engine to send a request to, in milliseconds. */
	longestGapMs: number;
};

type Digest = {readonly arrivesAt: number; readonly ages: readonly core.rollout.VersionAge[]};

/** A VM with a wall clock that may be wrong; jumps forward look like suspensions to it. */
class Vm {
	targets = new core.rollout.WeightTargets();
	wallErrorMs = 0;
	/** True time from which the VM runs. */
	runsFrom = 0;
	/** True time until which its calls to the store fail. */
	cutUntil = -Infinity;
	/** True time from which digests of others have arrived. */
	settledAt = 0;
	/** Earliest time by its own clock at which a version can have been named. */
	readonly earliest = new Map<number, number>();
	inbox: Digest[] = [];
	gapSince: number | undefined;
	#skewMs = 0;
	#times = new core.store.ChangeTimes();
	#nextPollAt = 0;
	#readVersion = 0;

	clockAt(now: number): number {
		return now + this.#skewMs;
	}

	wallAt(now: number): number {
		return now + this.wallErrorMs;
	}

	jump(ms: number): void {
		this.wallErrorMs += ms;
		this.#skewMs += Math.max(0, ms);
	}

	restart(runsFrom: number): void {
		this.targets = new core.rollout.WeightTargets();
		this.#times = new core.store.ChangeTimes();
		this.runsFrom = runsFrom;
		this.settledAt = runsFrom + informedWithinMs;
		this.#nextPollAt = runsFrom;
		this.#readVersion = 0;
		this.#skewMs = 0;
		this.earliest.clear();
		this.inbox = [];
	}

	cut(until: number): void {
		this.cutUntil = Math.max(this.cutUntil, until);
		this.settledAt = Math.max(this.settledAt, until + informedWithinMs);
	}

	/** Reads the newest named version from the store: at once when it changes, otherwise once a second. */
	poll(version: number, now: number): void {
		if (now < this.cutUntil) {
			this.#times.recordFailure();
			return;
		}

		if (version === this.#readVersion && now < this.#nextPollAt) {
			return;
		}

		const endedAt = this.clockAt(now);
		const call: core.store.CallTimes = {startedAt: this.clockAt(this.#nextPollAt - pollIntervalMs), endedAt, suspendedMs: this.#skewMs};
		if (version !== this.#readVersion) {
			const interval = this.#times.intervalOf(call);
			const isFirstRead = interval.after === -Infinity;
			this.targets.observe(model, version, isFirstRead ? {...interval, assumed: endedAt - (maxOutdatedMs / 2)} : interval);
			this.earliest.set(version, interval.after);
			this.#readVersion = version;
		}

		this.#times.recordSuccess(call);
		this.#nextPollAt = now + pollIntervalMs;
	}
}

/** VMs that bring the engines to the newest version, in virtual time. */
export class FleetWithWrongClocks {
	readonly #random: core.util.SeededRandom;
	readonly #vms: Vm[];
	readonly #engines = Array.from({length: 8}, () => ({version: 1, loading: undefined as {readonly version: number; readonly until: number} | undefined}));
	#plan: core.rollout.NamedVersion[] = [];
	/** True times at which the keys of versions end. */
	readonly #keyEndsAt = new Map<number, number>();
	#newest = 1;
	#rotation = 0;
	readonly #outcome: FleetOutcome = {
		younger: 0, olderThanInterval: 0, lateStarts: 0, withoutEngine: 0, samples: 0, usableShares: 0, longestGapMs: 0,
	};

	constructor(private readonly options: FleetOptions) {
		this.#random = new core.util.SeededRandom(options.seed);
		this.#vms = Array.from({length: options.vmCount}, () => new Vm());
	}

	run(): FleetOutcome {
		const {durationMs, namedAt, restart} = this.options;
		for (let now = 0; now < durationMs; now += tickMs) {
			this.#newest = 1 + namedAt.filter(at => at <= now).length;
			this.#makeTrouble(now);
			if (now === restart?.at) {
				for (const vm of this.#vms) {
					vm.wallErrorMs = 0;
					vm.restart(now + restart.downMs + (this.#random.int(6) * tickMs));
				}
			}

			const running = this.#vms.filter(vm => vm.runsFrom <= now);
			for (const vm of running) {
				vm.poll(this.#newest, now);
				this.#readPlan(vm, now);
			}

			this.#lead(now);
			this.#exchange(running, now);
			for (const vm of running) {
				this.#check(vm, now);
			}
		}

		return this.#outcome;
	}

	/** Lets clocks jump, and restarts VMs or cuts them off; the first VM is left alone, so that one has seen all versions. */
	#makeTrouble(now: number): void {
		const {troubleShare = 0, maxJumpMs = 0, restart} = this.options;
		if (restart !== undefined && now === 0) {
			this.#vms[0]!.wallErrorMs = restart.leaderErrorMs;
		}

		for (const vm of this.#vms.slice(1)) {
			if (this.#random.int(100_000) < troubleShare * tickMs * 100) {
				const kind = this.#random.int(4);
				if (kind === 0) {
					vm.restart(now + 300 + this.#random.int(4000));
				} else if (kind === 1) {
					vm.cut(now + 500 + this.#random.int(4000));
				} else if (maxJumpMs > 0) {
					vm.jump(this.#random.int((2 * maxJumpMs) + 1) - maxJumpMs);
				}
			}
		}
	}

	/** The leader, a VM at random, publishes the versions that the plan lacks and has a quarter of the engines load. */
	#lead(now: number): void {
		const candidates = this.#vms.filter(vm => vm.runsFrom <= now && vm.cutUntil <= now);
		const leader = this.options.restart === undefined ? candidates[this.#random.int(Math.max(1, candidates.length))] : candidates[0];
		this.#writeKeys(leader, now);
		const isPublished = this.#plan.some(({version, hasRecentKey}) => version === this.#newest && hasRecentKey === this.#keyEndsAt.has(version));
		if (leader !== undefined && (!isPublished || this.#random.int(10) === 0)) {
			this.#plan = leader.targets.list().map(({version, seenAt}) => ({
				model, version, seenAt: seenAt + leader.wallAt(now) - leader.clockAt(now), ageMs: leader.clockAt(now) - seenAt, hasRecentKey: this.#keyEndsAt.has(version),
			}));
		}

		for (const engine of this.#engines) {
			const {loading: order} = engine;
			if (order !== undefined && now >= order.until) {
				engine.version = order.version;
				engine.loading = undefined;
			}

			const loading = this.#engines.filter(other => other.loading !== undefined).length;
			if (leader !== undefined && engine.loading === undefined && engine.version < this.#newest && loading < 2) {
				engine.loading = {version: this.#newest, until: now + loadMs};
			}
		}
	}

	#writeKeys(leader: Vm | undefined, now: number): void {
		for (const {version, ageMs} of leader?.targets.listKnownAges(recentVersionMs - minLeaseMs, leader.clockAt(now)) ?? []) {
			if (!this.#keyEndsAt.has(version)) {
				this.#keyEndsAt.set(version, now + recentVersionMs - ageMs);
			}
		}
	}

	#readPlan(vm: Vm, now: number): void {
		for (const {version, seenAt, ageMs = 0, hasRecentKey} of vm.cutUntil <= now ? this.#plan : []) {
			if (hasRecentKey && this.#keyEndsAt.get(version)! <= now) {
				vm.targets.addReported(model, version, vm.clockAt(now) - recentVersionMs, vm.clockAt(now));
			}

			vm.targets.addReported(model, version, Math.min(seenAt + vm.clockAt(now) - vm.wallAt(now), vm.clockAt(now) - ageMs), vm.clockAt(now));
		}
	}

	#exchange(running: readonly Vm[], now: number): void {
		for (const vm of running) {
			const arrived = vm.inbox.filter(({arrivesAt}) => arrivesAt <= now);
			vm.inbox = vm.inbox.filter(({arrivesAt}) => arrivesAt > now);
			for (const age of arrived.flatMap(({ages}) => ages)) {
				vm.targets.addPeerAge(age, vm.clockAt(now));
			}
		}

		if (this.options.areAgesSent === false || now % digestIntervalMs !== 0) {
			return;
		}

		for (const vm of running) {
			const ages = vm.targets.listKnownAges(2 * maxOutdatedMs, vm.clockAt(now));
			this.#rotation += peersPerDigest;
			for (let index = 0; index < Math.min(peersPerDigest, this.#vms.length); index++) {
				const peer = this.#vms[(this.#rotation + index) % this.#vms.length]!;
				if (peer !== vm && this.#random.int(100) > 0) {
					peer.inbox.push({arrivesAt: now + this.#random.int(maxDigestDelayMs), ages});
				}
			}
		}
	}

	#check(vm: Vm, now: number): void {
		const own = vm.clockAt(now);
		const isSettled = now >= vm.settledAt && vm.cutUntil <= now;
		for (const [version, earliest] of vm.earliest) {
			const trueAgeMs = now - this.options.namedAt[version - 2]!;
			const ageMs = vm.targets.outdatedForMs(model, version - 1, own);
			this.#outcome.younger += version > 1 && isSettled && ageMs < trueAgeMs - core.rollout.takeBackMarginMs ? 1 : 0;
			this.#outcome.olderThanInterval += version > 1 && own - ageMs < earliest ? 1 : 0;
		}

		const usable = this.#engines.filter(({version, loading}) => loading === undefined
			&& core.rollout.canStartInTime(vm.targets.startWithinMs(model, version, maxOutdatedMs, own), 0));
		const isLate = usable.some(({version}) => now > (this.options.namedAt[version - 1] ?? Infinity) + maxOutdatedMs);
		this.#outcome.lateStarts += isLate && isSettled ? 1 : 0;
		this.#outcome.samples += 1;
		this.#outcome.usableShares += usable.length / this.#engines.length;
		this.#outcome.withoutEngine += usable.length === 0 ? 1 : 0;
		vm.gapSince = usable.length === 0 ? vm.gapSince ?? now : undefined;
		this.#outcome.longestGapMs = Math.max(this.#outcome.longestGapMs, now - (vm.gapSince ?? now));
	}
}
