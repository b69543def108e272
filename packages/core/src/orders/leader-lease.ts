import * as xstate from 'xstate';
import * as invariant from '../util/invariant.js';
import * as leaseMachine from './lease-machine.js';

/** Durations of the leader's lease, in milliseconds. */
export type LeaseOptions = {
	/** Time to live of the lease from each grant or renewal. */
	readonly ttlMs: number;
	/** Safety margin: no order is sent during this time before the earliest end of the lease. */
	readonly marginMs: number;
	/** Maximum time from sending an order to its completion. */
	readonly maxOrderDurationMs: number;
};

/** The lease that this router holds. */
type HeldLease = {
	/** Fencing token: the revision of the lease's key. */
	readonly fencing: number;
	/** Earliest time at which the lease can end. */
	readonly endsAt: number;
	/** Time from which no order of an earlier holder can still be in flight. */
	readonly previousOrdersEndAt: number;
};

/**
 * The leader's lease as one router sees it. Every query takes the current time, so that a router that resumes after a
 * pause finds its lease expired before it sends an order.
 */
export class LeaderLease {
	private snapshot = xstate.initialTransition(leaseMachine.leaseMachine)[0];
	private held: HeldLease | undefined;

	constructor(private readonly options: LeaseOptions) {
		invariant.assertInvariant(
			options.marginMs < options.ttlMs,
			'leader.margin-below-lease',
			() => `margin of ${options.marginMs} ms is not shorter than the lease of ${options.ttlMs} ms`,
		);
	}

	/** Returns the phase at the given time. */
	phase(now: number): leaseMachine.LeasePhase {
		this.advance(now);
		return this.snapshot.value;
	}

	/** Returns the fencing token for an order that is sent now, or `undefined` when none may be sent. */
	fencing(now: number): number | undefined {
		return this.phase(now) === leaseMachine.LeasePhase.Leading ? this.held!.fencing : undefined;
	}

	/** Records that an attempt to acquire the lease starts. */
	beginAcquiring(now: number): void {
		this.advance(now);
		this.transition(leaseMachine.LeaseEventType.AcquisitionStarted);
	}

	/**
	 * Records that the lease was granted.
	 *
	 * @param sentAt - When the grant was requested; the lease lasts for at least `ttlMs` from then.
	 * @param previousOrdersEndAt - Time from which no order of an earlier holder can still be in flight; by default
	 * `maxOrderDurationMs` after `now`.
	 */
	recordGrant(fencing: number, sentAt: number, now: number, previousOrdersEndAt: number = now + this.options.maxOrderDurationMs): void {
		this.held = {fencing, endsAt: sentAt + this.options.ttlMs, previousOrdersEndAt};
		this.transition(leaseMachine.LeaseEventType.Granted);
		this.advance(now);
	}

	/** Records that another router holds the lease or that the key-value service did not respond. */
	recordRefusal(): void {
		this.transition(leaseMachine.LeaseEventType.Refused);
	}

	/** Records a renewal that was requested at `sentAt`; ignored when the lease has ended by `now`. */
	recordRenewal(sentAt: number, now: number): void {
		this.advance(now);
		if (this.held === undefined) {
			return;
		}

		this.held = {...this.held, endsAt: Math.max(this.held.endsAt, sentAt + this.options.ttlMs)};
		this.transition(leaseMachine.LeaseEventType.Renewed);
		this.advance(now);
	}

	/** Returns whether the lease is held at the given time, whether or not orders may be sent. */
	isHeld(now: number): boolean {
		this.advance(now);
		return this.held !== undefined;
	}

	/** Records that the lease has expired, was released or is unknown to the key-value service. */
	recordEnd(): void {
		this.held = undefined;
		this.transition(leaseMachine.LeaseEventType.Ended);
	}

	/** Applies the transitions that are due at the given time. */
	private advance(now: number): void {
		if (this.held === undefined) {
			return;
		}

		if (now >= this.held.endsAt) {
			this.recordEnd();
			return;
		}

		if (now >= this.held.endsAt - this.options.marginMs) {
			this.transition(leaseMachine.LeaseEventType.MarginReached);
			return;
		}

		if (now >= this.held.previousOrdersEndAt) {
			this.transition(leaseMachine.LeaseEventType.PreviousOrdersEnded);
		}
	}

	/** Applies an event, unless the current phase does not handle it. */
	private transition(type: leaseMachine.LeaseEventType): void {
		if (this.snapshot.can({type})) {
			[this.snapshot] = xstate.transition(leaseMachine.leaseMachine, this.snapshot, {type});
		}
	}
}
