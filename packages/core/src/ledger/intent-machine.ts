import * as xstate from 'xstate';
import * as util from '../util/index.js';

/** Phase of an intent at the router that sends its request. */
export enum IntentPhase {
	/** Waiting to be recorded in the ledger. */
	Proposed = 'proposed',
	/** Recorded in the ledger; nothing has been sent. */
	Committed = 'committed',
	/** The request may have been sent. */
	Sent = 'sent',
	/** The request was executed. */
	Done = 'done',
	/** The request may have been executed. */
	Unknown = 'unknown',
	/** The request was not executed and will not be sent again. */
	NotExecuted = 'dead',
}

/** Type of an event of the intent state machine. */
export enum IntentEventType {
	/** The intent was recorded in the ledger. */
	Commit = 'commit',
	/** The router abandons the intent, or the ledger refuses it. */
	Abandon = 'give_up',
	/** The router claims the single permission to send the request. */
	Send = 'send',
	/** The complete response of the endpoint was received. */
	CompleteResponse = 'answer',
	/** The attempt ended without a complete response. */
	LoseResponse = 'lose',
	/** The endpoint reported that it refused the request before executing it. */
	RefuseBeforeExecution = 'refuse_before_begin',
}

/** State machine of an intent; used only through pure transitions. */
export const intentMachine = xstate.setup({
	types: {
		events: {} as {readonly type: IntentEventType}, // eslint-disable-line @typescript-eslint/consistent-type-assertions
	},
}).createMachine({
	initial: IntentPhase.Proposed,
	states: {
		[IntentPhase.Proposed]: {
			on: {
				[IntentEventType.Commit]: IntentPhase.Committed,
				[IntentEventType.Abandon]: IntentPhase.NotExecuted,
			},
		},
		[IntentPhase.Committed]: {
			on: {
				[IntentEventType.Send]: IntentPhase.Sent,
				[IntentEventType.Abandon]: IntentPhase.NotExecuted,
			},
		},
		[IntentPhase.Sent]: {
			on: {
				[IntentEventType.CompleteResponse]: IntentPhase.Done,
				[IntentEventType.LoseResponse]: IntentPhase.Unknown,
				[IntentEventType.RefuseBeforeExecution]: IntentPhase.NotExecuted,
			},
		},
		[IntentPhase.Done]: {type: 'final'},
		[IntentPhase.Unknown]: {type: 'final'},
		[IntentPhase.NotExecuted]: {type: 'final'},
	},
});

/** Snapshot of the intent state machine. */
export type IntentSnapshot = xstate.SnapshotFrom<typeof intentMachine>;

/** Creates the initial snapshot of an intent. */
export function createIntentSnapshot(): IntentSnapshot {
	return xstate.initialTransition(intentMachine)[0];
}

export function getIntentPhase(state: IntentSnapshot): IntentPhase {
	return state.value;
}

/**
 * Applies an event to an intent.
 *
 * @throws InvariantError when the event is not allowed in the current phase, such as a second permission to send.
 */
export function stepIntent(state: IntentSnapshot, type: IntentEventType): IntentSnapshot {
	const phase = getIntentPhase(state);
	util.assertInvariant(state.can({type}), 'ledger.intent-event', () => `event ${type} for an intent in phase ${phase}`);
	return xstate.transition(intentMachine, state, {type})[0];
}
