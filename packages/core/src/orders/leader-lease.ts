import * as xstate from 'xstate';
import * as invariant from '../util/invariant.js';
import * as leaseMachine from './lease-machine.js';

/** Times of the leader's lease, in milliseconds. */
export type LeaseOptions = {
	/** Length of the lease from each grant or renewal. */
	readonly ttlMs: number;
	/** Orders stop this long before the lease can end. */
	readonly marginMs: number;
	/** Longest time that an order can be under way. */
	readonly maxOrderDurationMs: number;
};

/** What a router knows of the lease that it holds. */
type HeldLease = {
	/** Revision of the lease's key. */
	readonly fencing: number;
	/** Time at which the lease can end at the earliest. */
	readonly endsAt: number;
	/** Time from which no order of an earlier holder can be under way. */
	readonly previousOrdersEndAt: number;
};

/**
 * The leader's lease as one router sees it. Every question takes the present time, so that a router that was paused
 * finds its lease over before it acts.
 */
export class LeaderLease {
	private snapshot = xstate.initialTransition(leaseMachine.leaseMachine)[0];
	private held: HeldLease | undefined;

	constructor(private readonly options: LeaseOptions) {
		invariant.assertInvariant(
			options.marginMs < options.ttlMs,
			'leader.margin-below-lease',
			() => `${options.marginMs} of ${options.ttlMs}`,
		);
	}

	/** Returns the phase at the present time. */
	phase(now: number): leaseMachine.LeasePhase {
		this.advance(now);
		return this.snapshot.value;
	}

	/** Returns the fencing number for an order that is sent now, or `undefined` when none may be sent. */
	fencing(now: number): number | undefined {
		return this.phase(now) === leaseMachine.LeasePhase.Leading ? this.held!.fencing : undefined;
	}

	/** Notes that a try to take the lease begins. */
	beginAcquiring(now: number): void {
		this.advance(now);
		this.transition(leaseMachine.LeaseEventType.Try);
	}

	/**
	 * Takes a lease that was gained.
	 *
	 * @param sentAt - When the grant was asked for; the lease lasts from then at least.
	 * @param previousOrdersEndAt - Time from which no order of an earlier holder can be under way; by default the longest order from now.
	 */
	recordGrant(fencing: number, sentAt: number, now: number, previousOrdersEndAt: number = now + this.options.maxOrderDurationMs): void {
		this.held = {fencing, endsAt: sentAt + this.options.ttlMs, previousOrdersEndAt};
		this.transition(leaseMachine.LeaseEventType.Gained);
		this.advance(now);
	}

	/** Notes that the lease is another's or that the service did not answer. */
	recordRefusal(): void {
		this.transition(leaseMachine.LeaseEventType.Refused);
	}

	/** Takes a renewal that was asked for at `sentAt`. */
	recordRenewal(sentAt: number, now: number): void {
		this.advance(now);
		if (this.held === undefined) {
			return;
		}

		this.held = {...this.held, endsAt: Math.max(this.held.endsAt, sentAt + this.options.ttlMs)};
		this.transition(leaseMachine.LeaseEventType.Renewed);
		this.advance(now);
	}

	/** Whether the lease is held at the present time, be it for orders or not yet. */
	isHeld(now: number): boolean {
		this.advance(now);
		return this.held !== undefined;
	}

	/** Notes that the lease was given back or is not known to the service any more. */
	recordEnd(): void {
		this.held = undefined;
		this.transition(leaseMachine.LeaseEventType.Ended);
	}

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

	private transition(type: leaseMachine.LeaseEventType): void {
		if (this.snapshot.can({type})) {
			[this.snapshot] = xstate.transition(leaseMachine.leaseMachine, this.snapshot, {type});
		}
	}
}
