import type * as ids from '../model/ids.js';
import * as invariant from '../util/invariant.js';
import * as random from '../util/random.js';
import * as incarnationHistory from './incarnation-history.js';
import * as memberRecord from './member-record.js';
import * as memberTable from './member-table.js';
import * as types from './membership-types.js';
import * as neighbours from './neighbours.js';
import * as probeList from './probe-list.js';
import * as gossipComposer from './gossip-composer.js';

/** Suspected neighbours that are pinged again at each tick. */
const maxSuspectPingsPerTick = 3;
/** Periods between two ticks above which this process counts as having been paused. */
const pauseThresholdTicks = 4;
/** Records of absent members that are removed from the table at one tick. */
const maxRemovalsPerTick = 64;

/**
 * SWIM-style membership protocol with failure detection by probes and dissemination by gossip. Each period one neighbour
 * is pinged; one that does not respond is pinged through other routers, then suspected, and declared dead when it does not
 * refute the suspicion in time. The number of records in a message is bounded. The same code serves fleets from one
 * router to hundreds.
 */
export class Membership {
	private readonly cfg: types.MembershipOptions & types.MembershipDefaults;
	private readonly table = new memberTable.MemberTable();
	private readonly history: incarnationHistory.IncarnationHistory;
	private readonly generator: random.SeededRandom;
	private readonly probes: probeList.ProbeList;
	/** Time in milliseconds at which each suspect is declared dead. */
	private readonly suspicionDeadlines = new Map<ids.VmId, number>();
	private readonly composer: gossipComposer.GossipComposer;
	private followUpPings = 0;
	private cachedNeighbours: ids.VmId[] | undefined;
	private presentCount = 0;
	private lastTickAt: number;
	private effects: types.MembershipEffect[] = [];

	constructor(options: types.MembershipOptions) {
		this.cfg = {...types.membershipDefaults, ...options};
		this.composer = new gossipComposer.GossipComposer(this.table, this.cfg);
		this.history = new incarnationHistory.IncarnationHistory(this.cfg.unseenTimeoutMs);
		this.generator = new random.SeededRandom(this.cfg.seed);
		this.probes = new probeList.ProbeList(this.generator);
		this.lastTickAt = this.cfg.startedAt;
		this.store({
			vm: this.cfg.vm,
			incarnation: this.cfg.incarnation,
			version: this.cfg.startedAt,
			status: memberRecord.MemberStatus.Alive,
			host: this.cfg.host,
			port: this.cfg.port,
			dataCentre: this.cfg.dataCentre,
			leaving: false,
		}, this.cfg.startedAt);
		this.effects = [];
	}

	/**
	 * Handles an event and returns the effects to carry out, in order.
	 *
	 * @throws InvariantError when the record of this router carries another incarnation or the status `dead`.
	 */
	step(event: types.MembershipEvent, now: number): readonly types.MembershipEffect[] {
		this.effects = [];
		this.handle(event, now);
		const own = this.ownRecord();
		invariant.assertInvariant(
			own.incarnation === this.cfg.incarnation && own.status !== memberRecord.MemberStatus.Dead,
			'members.own-record',
			() => JSON.stringify(own),
		);
		return this.effects;
	}

	/** Returns all records, including those of members that are dead or have left. */
	records(): memberRecord.MemberRecord[] {
		return this.table.records();
	}

	/** Returns the present members, this one included. */
	present(): memberRecord.MemberRecord[] {
		return this.table.records().filter(record => memberRecord.isPresent(record));
	}

	get(vm: ids.VmId): memberRecord.MemberRecord | undefined {
		return this.table.get(vm);
	}

	/** Returns the members that this router probes and keeps links to. */
	neighbours(): readonly ids.VmId[] {
		this.cachedNeighbours ??= neighbours.chooseNeighbours(
			this.cfg.vm,
			this.present().map(record => record.vm),
			this.cfg.neighbourLimits,
		);
		return this.cachedNeighbours;
	}

	/** Returns whether an incarnation has ended; see `IncarnationHistory.hasEnded`. */
	hasEnded(vm: ids.VmId, incarnation: ids.Incarnation, now: number): boolean {
		if (vm === this.cfg.vm) {
			return incarnation !== this.cfg.incarnation;
		}

		return this.history.hasEnded(this.table.get(vm), vm, incarnation, now);
	}

	private handle(event: types.MembershipEvent, now: number): void {
		switch (event.type) {
			case types.MembershipEventType.Tick: {
				this.tick(now);
				break;
			}

			case types.MembershipEventType.Ping: {
				this.applyPayload(event.from, event.spread, now);
				this.send(types.MembershipEffectType.SendAck, event.from, event.spread.sequence);
				break;
			}

			case types.MembershipEventType.PingRequest: {
				this.applyPayload(event.from, event.spread, now);
				this.startRelay(event.from, event.spread.sequence, event.target);
				break;
			}

			case types.MembershipEventType.Ack: {
				this.handleAck(event.from, event.spread, now);
				break;
			}

			case types.MembershipEventType.LinkUp: {
				this.handleLinkUp(event, now);
				break;
			}

			case types.MembershipEventType.RecordsReceived: {
				this.merge(event.records, now);
				break;
			}

			case types.MembershipEventType.LeaveStarted: {
				this.announce({leaving: true}, now);
				break;
			}

			case types.MembershipEventType.LeaveFinished: {
				this.announce({status: memberRecord.MemberStatus.Left, leaving: true}, now);
				break;
			}
		}
	}

	private ownRecord(): memberRecord.MemberRecord {
		return this.table.get(this.cfg.vm)!;
	}

	/** Updates the record of this router and pings all neighbours at once with it. */
	private announce(change: Partial<Pick<memberRecord.MemberRecord, 'status' | 'leaving'>>, now: number): void {
		const own = this.ownRecord();
		this.store({...own, ...change, version: own.version + 1}, now);
		for (const vm of this.neighbours()) {
			this.send(types.MembershipEffectType.SendPing, vm, this.probes.nextSequence());
		}
	}

	private tick(now: number): void {
		const pauseMs = now - this.lastTickAt;
		this.lastTickAt = now;
		this.followUpPings = 0;
		this.composer.beginPeriod(now);
		if (pauseMs > pauseThresholdTicks * this.cfg.periodMs) {
			this.compensateForPause(pauseMs);
		}

		const {probes, relays, unanswered} = this.probes.advanceTick();
		for (const vm of unanswered) {
			this.suspect(vm, now);
		}

		this.expireSuspicions(now);
		for (const probe of probes) {
			if (probe.ageTicks === probeList.indirectProbeAfterTicks) {
				this.probeIndirectly(probe);
			}
		}

		for (const relay of relays) {
			this.send(types.MembershipEffectType.SendPing, relay.target, relay.sequence);
		}

		this.pingSuspects();
		this.probeNext();
		this.gossipPendingUpdates();
		this.removeExpired(now);
	}

	/** After a pause of this process, acks may be queued unread, so probes are dropped and suspicions extended by the pause. */
	private compensateForPause(pauseMs: number): void {
		this.probes.clear();
		for (const [vm, deadline] of this.suspicionDeadlines) {
			this.suspicionDeadlines.set(vm, deadline + pauseMs);
		}
	}

	private probeNext(): void {
		const target = this.probes.nextTarget(this.neighbours());
		const probe = target === undefined ? undefined : this.probes.startProbe(target);
		if (probe !== undefined) {
			this.send(types.MembershipEffectType.SendPing, probe.target, probe.sequence);
		}
	}

	/** While updates are pending, pings some additional neighbours whose table differs. */
	private gossipPendingUpdates(): void {
		if (!this.table.hasPendingUpdates) {
			return;
		}

		const differingNeighbours = this.neighbours().filter(vm => this.composer.hasDifferentTable(vm));
		for (const vm of this.generator.shuffle(differingNeighbours).slice(0, this.cfg.gossipPingsPerPeriod)) {
			this.send(types.MembershipEffectType.SendPing, vm, this.probes.nextSequence());
		}
	}

	private probeIndirectly(probe: probeList.Probe): void {
		this.send(types.MembershipEffectType.SendPing, probe.target, probe.sequence);
		const others = this.neighbours().filter(vm => vm !== probe.target
			&& this.table.get(vm)?.status === memberRecord.MemberStatus.Alive);
		for (const intermediary of this.generator.shuffle(others).slice(0, this.cfg.indirectProbeCount)) {
			this.effects.push({
				type: types.MembershipEffectType.SendPingRequest,
				to: intermediary,
				target: probe.target,
				spread: this.composer.compose(intermediary, probe.sequence),
			});
		}
	}

	private pingSuspects(): void {
		const suspectedNeighbours = this.neighbours().filter(vm => this.suspicionDeadlines.has(vm));
		for (const vm of suspectedNeighbours.slice(0, maxSuspectPingsPerTick)) {
			this.send(types.MembershipEffectType.SendPing, vm, this.probes.nextSequence());
		}
	}

	private startRelay(origin: ids.VmId, originSequence: number, target: ids.VmId): void {
		const relay = this.probes.startRelay(origin, originSequence, target);
		if (relay !== undefined) {
			this.send(types.MembershipEffectType.SendPing, target, relay.sequence);
		}
	}

	private handleAck(from: ids.VmId, payload: types.GossipPayload, now: number): void {
		this.applyPayload(from, payload, now);
		const relay = this.probes.complete(payload.sequence);
		if (relay !== undefined) {
			this.send(types.MembershipEffectType.SendAck, relay.origin, relay.originSequence);
		}

		if (this.composer.knowsDifferingBuckets(from) && this.followUpPings < this.cfg.maxFollowUpPingsPerPeriod) {
			this.followUpPings += 1;
			this.send(types.MembershipEffectType.SendPing, from, this.probes.nextSequence());
		}
	}

	private handleLinkUp(
		event: Extract<types.MembershipEvent, {readonly type: types.MembershipEventType.LinkUp}>,
		now: number,
	): void {
		if (this.table.get(event.from) === undefined) {
			this.store({
				vm: event.from,
				incarnation: event.incarnation,
				version: 0,
				status: memberRecord.MemberStatus.Alive,
				host: event.host,
				port: event.port,
				dataCentre: event.dataCentre,
				leaving: false,
			}, now);
		}

		this.composer.recordLinkUp(event.from);
		this.send(types.MembershipEffectType.SendPing, event.from, this.probes.nextSequence());
	}

	private applyPayload(from: ids.VmId, payload: types.GossipPayload, now: number): void {
		this.merge(payload.records, now);
		this.composer.recordPayload(from, payload, now);
	}

	private merge(records: readonly memberRecord.MemberRecord[], now: number): void {
		for (const record of records) {
			if (record.vm === this.cfg.vm) {
				this.refute(record, now);
				continue;
			}

			const current = this.table.get(record.vm);
			if (current === undefined || memberRecord.supersedes(record, current)) {
				this.store(record, now);
			}
		}
	}

	/** Supersedes a record of this VM that came from an earlier incarnation or from a suspicion by another router. */
	private refute(record: memberRecord.MemberRecord, now: number): void {
		const own = this.ownRecord();
		const same = record.incarnation === own.incarnation
			&& record.status === own.status
			&& record.leaving === own.leaving;
		if (!same && record.version >= own.version) {
			this.store({...own, version: record.version + 1}, now);
		}
	}

	private suspect(vm: ids.VmId, now: number): void {
		const record = this.table.get(vm);
		if (record?.status === memberRecord.MemberStatus.Alive) {
			this.store({...record, status: memberRecord.MemberStatus.Suspect}, now);
		}
	}

	private expireSuspicions(now: number): void {
		for (const [vm, deadline] of this.suspicionDeadlines) {
			if (now >= deadline) {
				this.store({...this.table.get(vm)!, status: memberRecord.MemberStatus.Dead}, now);
			}
		}
	}

	private removeExpired(now: number): void {
		if (this.table.size === this.presentCount) {
			return;
		}

		const expired = this.table.records().filter(record => !memberRecord.isPresent(record)
			&& record.vm !== this.cfg.vm
			&& now - this.table.changedAt(record.vm) > this.cfg.retentionMs);
		for (const record of expired.slice(0, maxRemovalsPerTick)) {
			this.history.recordEnd(record.vm, record.incarnation);
			this.table.remove(record.vm);
			this.composer.forget(record.vm);
		}
	}

	private store(record: memberRecord.MemberRecord, now: number): void {
		const before = this.table.get(record.vm);
		if (before !== undefined && before.incarnation !== record.incarnation) {
			this.history.recordEnd(before.vm, before.incarnation);
		}

		this.table.put(record, now, this.sendsPerRecord());
		const isPresent = memberRecord.isPresent(record);
		const wasPresent = before !== undefined && memberRecord.isPresent(before);
		if (isPresent !== wasPresent) {
			this.presentCount += isPresent ? 1 : -1;
			this.cachedNeighbours = undefined;
		}

		if (record.status === memberRecord.MemberStatus.Suspect) {
			this.suspicionDeadlines.set(record.vm, now + this.currentSuspicionTimeoutMs());
		} else {
			this.suspicionDeadlines.delete(record.vm);
		}

		this.effects.push({type: types.MembershipEffectType.Changed, record});
	}

	private currentSuspicionTimeoutMs(): number {
		return this.cfg.suspicionTimeoutMs * Math.max(1, Math.log10(this.presentCount));
	}

	private sendsPerRecord(): number {
		return 1 + Math.ceil(Math.log2(this.presentCount + 2));
	}

	private send(
		type: types.MembershipEffectType.SendPing | types.MembershipEffectType.SendAck,
		to: ids.VmId,
		sequence: number,
	): void {
		this.effects.push({type, to, spread: this.composer.compose(to, sequence)});
	}
}
