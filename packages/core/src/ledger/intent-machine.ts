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
	Dead = 'dead',
}

/** Type of an event in the life of an intent. */
export enum IntentEventType {
	Commit = 'commit',
	/** The router gives the intent up, or the ledger refuses it. */
	GiveUp = 'give_up',
	/** The one permission to send is taken. */
	Send = 'send',
	/** The endpoint's answer is whole. */
	Answer = 'answer',
	/** The attempt ended without a whole answer. */
	Lose = 'lose',
	/** The endpoint said that it refused the request before it began. */
	RefuseBeforeBegin = 'refuse_before_begin',
}

/** The life of an intent, used by pure transitions only. */
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
				[IntentEventType.GiveUp]: IntentPhase.Dead,
			},
		},
		[IntentPhase.Committed]: {
			on: {
				[IntentEventType.Send]: IntentPhase.Sent,
				[IntentEventType.GiveUp]: IntentPhase.Dead,
			},
		},
		[IntentPhase.Sent]: {
			on: {
				[IntentEventType.Answer]: IntentPhase.Done,
				[IntentEventType.Lose]: IntentPhase.Unknown,
				[IntentEventType.RefuseBeforeBegin]: IntentPhase.Dead,
			},
		},
		[IntentPhase.Done]: {type: 'final'},
		[IntentPhase.Unknown]: {type: 'final'},
		[IntentPhase.Dead]: {type: 'final'},
	},
});

/** State of an intent's life. */
export type IntentSnapshot = xstate.SnapshotFrom<typeof intentMachine>;

/** Begins the life of an intent. */
export function beginIntent(): IntentSnapshot {
	return xstate.initialTransition(intentMachine)[0];
}

/** Returns the phase of an intent. */
export function intentPhaseOf(state: IntentSnapshot): IntentPhase {
	return state.value;
}

/**
 * Takes one event of an intent's life.
 *
 * @throws InvariantError when the event cannot come in the present phase, such as a second permission to send.
 */
export function stepIntent(state: IntentSnapshot, type: IntentEventType): IntentSnapshot {
	const phase = intentPhaseOf(state);
	util.assertInvariant(state.can({type}), 'ledger.intent-event', () => `${type} while ${phase}`);
	return xstate.transition(intentMachine, state, {type})[0];
}
