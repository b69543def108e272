import * as xstate from 'xstate';
import * as util from '../util/index.js';

/** Phase of an intent at the router that sends it. */
export enum IntentPhase {
	/** Waits to be recorded. */
	Proposed = 'proposed',
	/** Stands in the ledger; nothing was sent. */
	Committed = 'committed',
	/** May have been sent. */
	Sent = 'sent',
	/** Was carried out. */
	Done = 'done',
	/** May have been carried out. */
	Unknown = 'unknown',
	/** Will never be sent. */
	NotExecuted = 'dead',
}

/** Type of an event in the snapshot of an intent. */
export enum IntentEventType {
	Commit = 'commit',
	/** The router gives the intent up, or the ledger refuses it. */
	Abandon = 'give_up',
	/** The one permission to send is taken. */
	Send = 'send',
	/** The endpoint's answer is whole. */
	CompleteResponse = 'answer',
	/** The attempt ended without a whole answer. */
	LoseResponse = 'lose',
	/** The endpoint said that it refused the request before it began. */
	RefuseBeforeExecution = 'refuse_before_begin',
}

/** The snapshot of an intent, used by pure transitions only. */
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

/** State of an intent's snapshot. */
export type IntentSnapshot = xstate.SnapshotFrom<typeof intentMachine>;

/** Begins the snapshot of an intent. */
export function createIntentSnapshot(): IntentSnapshot {
	return xstate.initialTransition(intentMachine)[0];
}

/** Returns the phase of an intent. */
export function getIntentPhase(state: IntentSnapshot): IntentPhase {
	return state.value;
}

/**
 * Takes one event of an intent's snapshot.
 *
 * @throws InvariantError when the event cannot come in the present phase, such as a second permission to send.
 */
export function stepIntent(state: IntentSnapshot, type: IntentEventType): IntentSnapshot {
	const phase = getIntentPhase(state);
	util.assertInvariant(state.can({type}), 'ledger.intent-event', () => `${type} while ${phase}`);
	return xstate.transition(intentMachine, state, {type})[0];
}
