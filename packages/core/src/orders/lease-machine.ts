import * as xstate from 'xstate';

/** Phase of a router in acquiring and holding the leader's lease. */
export enum LeasePhase {
	/** Does not hold the lease; another router may. */
	Follower = 'follower',
	/** An attempt to acquire the lease is in progress. */
	Acquiring = 'acquiring',
	/** Holds the lease, but orders of the previous holder may still be in flight. */
	AwaitingPreviousOrders = 'waiting_out',
	/** Holds the lease and sends orders. */
	Leading = 'leading',
	/** Holds the lease, but within the margin before its end and without a renewal: sends no orders. */
	Stopping = 'stopping',
}

/** Type of an event of the lease state machine. */
export enum LeaseEventType {
	AcquisitionStarted = 'try',
	Granted = 'gained',
	Refused = 'refused',
	PreviousOrdersEnded = 'waited_out',
	MarginReached = 'margin_reached',
	Renewed = 'renewed',
	/** The lease has expired, was released or is unknown to the key-value service. */
	Ended = 'ended',
}

/** State machine of the lease; used only with pure transitions, never started as an actor. */
export const leaseMachine = xstate.setup({
	types: {
		events: {} as {readonly type: LeaseEventType}, // eslint-disable-line @typescript-eslint/consistent-type-assertions
	},
}).createMachine({
	initial: LeasePhase.Follower,
	on: {[LeaseEventType.Ended]: `.${LeasePhase.Follower}`},
	states: {
		[LeasePhase.Follower]: {
			on: {[LeaseEventType.AcquisitionStarted]: LeasePhase.Acquiring},
		},
		[LeasePhase.Acquiring]: {
			on: {
				[LeaseEventType.Granted]: LeasePhase.AwaitingPreviousOrders,
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
			// No other router can have held the lease meanwhile, but this one may not have waited for the orders of the previous holder to end.
			on: {[LeaseEventType.Renewed]: LeasePhase.AwaitingPreviousOrders},
		},
	},
});
