import * as xstate from 'xstate';

/** Phase of a router with regard to the leader's lease. */
export enum LeasePhase {
	/** Another router may hold the lease. */
	Follower = 'follower',
	/** A try to take the lease is under way. */
	Acquiring = 'acquiring',
	/** Holds the lease, but orders of the earlier holder may still be under way. */
	AwaitingPreviousOrders = 'waiting_out',
	/** Holds the lease and gives orders. */
	Leading = 'leading',
	/** The lease ends soon and is not renewed: gives no more orders. */
	Stopping = 'stopping',
}

/** Type of an event in the life of a lease. */
export enum LeaseEventType {
	Try = 'try',
	Gained = 'gained',
	Refused = 'refused',
	PreviousOrdersEnded = 'waited_out',
	MarginReached = 'margin_reached',
	Renewed = 'renewed',
	/** The lease has ended or was given back. */
	Ended = 'ended',
}

/** The life of a lease, used by pure transitions only. */
export const leaseMachine = xstate.setup({
	types: {
		events: {} as {readonly type: LeaseEventType}, // eslint-disable-line @typescript-eslint/consistent-type-assertions
	},
}).createMachine({
	initial: LeasePhase.Follower,
	on: {[LeaseEventType.Ended]: `.${LeasePhase.Follower}`},
	states: {
		[LeasePhase.Follower]: {
			on: {[LeaseEventType.Try]: LeasePhase.Acquiring},
		},
		[LeasePhase.Acquiring]: {
			on: {
				[LeaseEventType.Gained]: LeasePhase.AwaitingPreviousOrders,
				[LeaseEventType.Refused]: LeasePhase.Follower,
			},
		},
		[LeasePhase.AwaitingPreviousOrders]: {
			on: {
				[LeaseEventType.PreviousOrdersEnded]: LeasePhase.Leading,
				[LeaseEventType.MarginReached]: LeasePhase.Stopping,
			},
		},
		[LeasePhase.Leading]: {
			on: {[LeaseEventType.MarginReached]: LeasePhase.Stopping},
		},
		[LeasePhase.Stopping]: {
			// Nobody else can have held the lease in between, but the wait may not have been over.
			on: {[LeaseEventType.Renewed]: LeasePhase.AwaitingPreviousOrders},
		},
	},
});
