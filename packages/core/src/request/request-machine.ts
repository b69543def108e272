import * as xstate from 'xstate';
import * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as attempt from './attempt.js';
import * as nextMove from './next-move.js';
import * as life from './request-life.js';

/** Phase of a request's life. */
export enum RequestPhase {
	/** Waits for an endpoint. */
	Admitted = 'admitted',
	/** An endpoint is chosen; nothing was written. */
	Placed = 'placed',
	/** Bytes may have been sent; no answer yet. */
	Dispatched = 'dispatched',
	/** The endpoint answers. */
	Relaying = 'relaying',
	/** Reconnecting to the same incarnation. */
	Resuming = 'resuming',
	/** Waits for an endpoint that continues or restarts the answer. */
	Continuing = 'continuing',
	/** The caller has the whole answer. */
	Done = 'done',
	/** The caller has a refusal or a typed error. */
	Refused = 'refused',
}

type MachineEvent = life.RequestEvent & {readonly now: number};

type FailedEvent = Extract<MachineEvent, {readonly type: life.RequestEventType.Failed}>;

function withProgress(state: life.RequestLife, progress: attempt.AttemptProgress): life.RequestLife {
	const present = state.attempts.at(-1);
	util.assertInvariant(present !== undefined, 'request.has-attempt', () => `${state.terms.requestId} has no attempt`);
	return {...state, attempts: [...state.attempts.slice(0, -1), {...present, progress}]};
}

function addAttempt(
	state: life.RequestLife,
	event: {readonly attemptId: model.AttemptId; readonly endpoint: model.EndpointId},
): life.RequestLife {
	const {requestId, repeatable} = state.terms;
	const mayAdd = repeatable || state.attempts.every(item => attempt.hasNotRun(item));
	util.assertInvariant(mayAdd, 'request.single-dispatch', () => `${requestId} may not be repeated and may have run`);
	const isNew = state.attempts.every(item => item.id !== event.attemptId);
	util.assertInvariant(isNew, 'request.unique-attempt', () => `attempt ${event.attemptId} of ${requestId} stands already`);
	const next = {id: event.attemptId, endpoint: event.endpoint, progress: attempt.AttemptProgress.NotBegun};
	return {...state, attempts: [...state.attempts, next], resumes: 0};
}

function beginAnswer(state: life.RequestLife, incarnation: model.Incarnation): life.RequestLife {
	const next = withProgress(state, attempt.AttemptProgress.AnswerBegun);
	const present = next.attempts.at(-1);
	const known = present?.incarnation;
	const isSame = known === undefined || known === incarnation;
	util.assertInvariant(isSame, 'request.same-incarnation', () => `${state.terms.requestId} went from ${known} to ${incarnation}`);
	return {...next, attempts: [...next.attempts.slice(0, -1), {...present!, incarnation}]};
}

function failPresent(state: life.RequestLife, event: FailedEvent): life.RequestLife {
	if (event.cause !== life.FailureCause.Refused) {
		return state;
	}

	const present = state.attempts.at(-1);
	const wasBegun = present?.progress === attempt.AttemptProgress.AnswerBegun;
	util.assertInvariant(!wasBegun, 'request.refusal-before-answer', () => `attempt ${present?.id} was refused after its answer began`);
	return withProgress(state, attempt.AttemptProgress.RefusedBeforeBegin);
}

function decide(state: life.RequestLife, event: MachineEvent): nextMove.NextMove | undefined {
	return event.type === life.RequestEventType.Failed
		? nextMove.decideNextMove(failPresent(state, event), event, event.now)
		: undefined;
}

const machineSetup = xstate.setup({
	types: {
		context: {} as life.RequestLife, // eslint-disable-line @typescript-eslint/consistent-type-assertions
		events: {} as MachineEvent, // eslint-disable-line @typescript-eslint/consistent-type-assertions
		input: {} as life.RequestTerms, // eslint-disable-line @typescript-eslint/consistent-type-assertions
	},
	guards: {
		isMove: ({context, event}, params: {move: nextMove.NextMove}) => decide(context, event) === params.move,
		isOpened: ({context}) => context.opened,
	},
	actions: {
		effect(_, _params: {effect: life.RequestEffect}) {
			// Carried out by the caller of the pure transition.
		},
	},
});

const addAttemptAction = machineSetup.assign(({context, event}) => {
	xstate.assertEvent(event, life.RequestEventType.Placed);
	return addAttempt(context, event);
});

const beginAnswerAction = machineSetup.assign(({context, event}) => {
	xstate.assertEvent(event, life.RequestEventType.AnswerBegun);
	return beginAnswer(context, event.incarnation);
});

const failAction = machineSetup.assign(({context, event}) => {
	xstate.assertEvent(event, life.RequestEventType.Failed);
	return failPresent(context, event);
});

const codeAction = machineSetup.assign(({context, event}) => {
	if (event.type === life.RequestEventType.Failed || event.type === life.RequestEventType.Refused) {
		return {...context, code: event.code};
	}

	const code = event.type === life.RequestEventType.CallerGone
		? model.ErrorCode.CallerGone
		: model.ErrorCode.DeadlineExceeded;
	return {...context, code};
});

const restartAction = machineSetup.assign(({context}) => ({...context, delivered: false}));
const resumeAction = machineSetup.assign(({context}) => ({...context, resumes: context.resumes + 1}));
const deliverAction = machineSetup.assign(({context}) => ({
	...context, opened: true, delivered: true, resumes: 0,
}));

function progressAction(progress: attempt.AttemptProgress) {
	return machineSetup.assign(({context}) => withProgress(context, progress));
}

function effect(name: life.RequestEffect) {
	return {type: 'effect' as const, params: {effect: name}};
}

function whenMove(move: nextMove.NextMove) {
	return {type: 'isMove' as const, params: {move}};
}

const failedTransitions = [
	{
		guard: whenMove(nextMove.NextMove.Resume),
		target: RequestPhase.Resuming,
		actions: [resumeAction, effect(life.RequestEffect.Resume)],
	},
	{
		guard: whenMove(nextMove.NextMove.TryElsewhere),
		target: RequestPhase.Admitted,
		actions: [failAction, effect(life.RequestEffect.CountRetry), effect(life.RequestEffect.Place)],
	},
	{
		guard: whenMove(nextMove.NextMove.Continue),
		target: RequestPhase.Continuing,
		actions: [failAction, effect(life.RequestEffect.CountRetry), effect(life.RequestEffect.Continue)],
	},
	{
		guard: whenMove(nextMove.NextMove.Restart),
		target: RequestPhase.Continuing,
		actions: [
			failAction,
			restartAction,
			effect(life.RequestEffect.Cancel),
			effect(life.RequestEffect.CountRetry),
			effect(life.RequestEffect.Restart),
		],
	},
	{
		guard: 'isOpened' as const,
		target: RequestPhase.Refused,
		actions: [failAction, codeAction, effect(life.RequestEffect.EndWithError)],
	},
	{
		target: RequestPhase.Refused,
		actions: [failAction, codeAction, effect(life.RequestEffect.Refuse)],
	},
];

function endTransitions(cancels: boolean) {
	const cancel = cancels ? [effect(life.RequestEffect.Cancel)] : [];
	return [
		{
			guard: 'isOpened' as const,
			target: RequestPhase.Refused,
			actions: [codeAction, ...cancel, effect(life.RequestEffect.EndWithError)],
		},
		{
			target: RequestPhase.Refused,
			actions: [codeAction, ...cancel, effect(life.RequestEffect.Refuse)],
		},
	];
}

function endEvents(cancels: boolean) {
	return {
		[life.RequestEventType.DeadlinePassed]: endTransitions(cancels),
		[life.RequestEventType.CallerGone]: endTransitions(cancels),
	};
}

const placeEvents = {
	[life.RequestEventType.Placed]: {
		target: RequestPhase.Placed,
		actions: [addAttemptAction, effect(life.RequestEffect.Dispatch)],
	},
	[life.RequestEventType.Refused]: endTransitions(false),
	...endEvents(false),
};

const answerEvents = {
	[life.RequestEventType.AnswerBegun]: {target: RequestPhase.Relaying, actions: beginAnswerAction},
	[life.RequestEventType.Failed]: failedTransitions,
	...endEvents(true),
};

/** The life of a request, used by pure transitions only. */
export const requestMachine = machineSetup.createMachine({
	context: ({input}) => ({
		terms: input, attempts: [], opened: false, delivered: false, resumes: 0,
	}),
	entry: effect(life.RequestEffect.Place),
	initial: RequestPhase.Admitted,
	states: {
		[RequestPhase.Admitted]: {on: placeEvents},
		[RequestPhase.Placed]: {
			on: {
				[life.RequestEventType.Connecting]: {actions: progressAction(attempt.AttemptProgress.Connecting)},
				[life.RequestEventType.Sending]: {
					target: RequestPhase.Dispatched,
					actions: progressAction(attempt.AttemptProgress.MaybeSent),
				},
				[life.RequestEventType.Failed]: failedTransitions,
				...endEvents(false),
			},
		},
		[RequestPhase.Dispatched]: {on: answerEvents},
		[RequestPhase.Relaying]: {
			on: {
				[life.RequestEventType.Delivered]: {actions: deliverAction},
				[life.RequestEventType.Completed]: {
					target: RequestPhase.Done,
					actions: [progressAction(attempt.AttemptProgress.AnsweredWhole), effect(life.RequestEffect.Finish)],
				},
				[life.RequestEventType.Failed]: failedTransitions,
				...endEvents(true),
			},
		},
		[RequestPhase.Resuming]: {on: answerEvents},
		[RequestPhase.Continuing]: {on: placeEvents},
		[RequestPhase.Done]: {type: 'final'},
		[RequestPhase.Refused]: {type: 'final'},
	},
});

/** A request with its phase. */
export type RequestSnapshot = xstate.SnapshotFrom<typeof requestMachine>;

function effectsOf(actions: ReadonlyArray<{readonly type: string; readonly params?: unknown}>): life.RequestEffect[] {
	return actions
		.filter(action => action.type === 'effect')
		.map(action => (action.params as {effect: life.RequestEffect}).effect);
}

/** Begins the life of an admitted request; the first effect is `place`. */
export function beginRequest(terms: life.RequestTerms): util.Step<RequestSnapshot, life.RequestEffect> {
	const [state, actions] = xstate.initialTransition(requestMachine, terms);
	return {state, effects: effectsOf(actions)};
}

/**
 * Takes one event of a request's life.
 *
 * @throws InvariantError when the event cannot come in the present phase, such as anything after the end.
 */
export function stepRequest(
	state: RequestSnapshot,
	event: life.RequestEvent,
	now: number,
): util.Step<RequestSnapshot, life.RequestEffect> {
	const machineEvent = {...event, now};
	const {requestId} = state.context.terms;
	util.assertInvariant(state.status === 'active', 'request.nothing-after-end', () => `${event.type} for ${requestId} after its end`);
	util.assertInvariant(state.can(machineEvent), 'request.event-in-phase', () => `${event.type} for ${requestId} while ${String(state.value)}`);
	const [next, actions] = xstate.transition(requestMachine, state, machineEvent);
	return {state: next, effects: effectsOf(actions)};
}

/** Returns the phase of a request. */
export function phaseOf(state: RequestSnapshot): RequestPhase {
	return state.value;
}
