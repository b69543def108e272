import * as xstate from 'xstate';
import * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as attempt from './attempt.js';
import * as retryDecision from './retry-decision.js';
import * as requestState from './request-state.js';

/** Phase of a request's requestState. */
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

type MachineEvent = requestState.RequestEvent & {readonly now: number};

type FailedEvent = Extract<MachineEvent, {readonly type: requestState.RequestEventType.Failed}>;

function withProgress(state: requestState.RequestState, progress: attempt.AttemptProgress): requestState.RequestState {
	const current = state.attempts.at(-1);
	util.assertInvariant(current !== undefined, 'request.has-attempt', () => `${state.options.requestId} has no attempt`);
	return {...state, attempts: [...state.attempts.slice(0, -1), {...current, progress}]};
}

function addAttempt(
	state: requestState.RequestState,
	event: {readonly attemptId: model.AttemptId; readonly endpoint: model.EndpointId},
): requestState.RequestState {
	const {requestId, repeatable} = state.options;
	const mayAdd = repeatable || state.attempts.every(item => attempt.isKnownNotExecuted(item));
	util.assertInvariant(mayAdd, 'request.single-dispatch', () => `${requestId} may not be repeated and may have run`);
	const isNew = state.attempts.every(item => item.id !== event.attemptId);
	util.assertInvariant(isNew, 'request.unique-attempt', () => `attempt ${event.attemptId} of ${requestId} stands already`);
	const next = {id: event.attemptId, endpoint: event.endpoint, progress: attempt.AttemptProgress.NotStarted};
	return {...state, attempts: [...state.attempts, next], resumeCount: 0};
}

function startResponse(state: requestState.RequestState, incarnation: model.Incarnation): requestState.RequestState {
	const next = withProgress(state, attempt.AttemptProgress.ResponseStarted);
	const current = next.attempts.at(-1);
	const known = current?.incarnation;
	const isSame = known === undefined || known === incarnation;
	util.assertInvariant(isSame, 'request.same-incarnation', () => `${state.options.requestId} went from ${known} to ${incarnation}`);
	return {...next, attempts: [...next.attempts.slice(0, -1), {...current!, incarnation}]};
}

function markAttemptRefused(state: requestState.RequestState, event: FailedEvent): requestState.RequestState {
	if (event.cause !== requestState.FailureCause.Refused) {
		return state;
	}

	const current = state.attempts.at(-1);
	const hadResponse = current?.progress === attempt.AttemptProgress.ResponseStarted;
	util.assertInvariant(!hadResponse, 'request.refusal-before-answer', () => `attempt ${current?.id} was refused after its answer began`);
	return withProgress(state, attempt.AttemptProgress.RefusedBeforeExecution);
}

function decideOnFailure(state: requestState.RequestState, event: MachineEvent): retryDecision.RetryDecision | undefined {
	return event.type === requestState.RequestEventType.Failed
		? retryDecision.decideRetry(markAttemptRefused(state, event), event, event.now)
		: undefined;
}

const machineSetup = xstate.setup({
	types: {
		context: {} as requestState.RequestState, // eslint-disable-line @typescript-eslint/consistent-type-assertions
		events: {} as MachineEvent, // eslint-disable-line @typescript-eslint/consistent-type-assertions
		input: {} as requestState.RequestOptions, // eslint-disable-line @typescript-eslint/consistent-type-assertions
	},
	guards: {
		isDecision: ({context, event}, params: {decision: retryDecision.RetryDecision}) => decideOnFailure(context, event) === params.decision,
		hasResponseStarted: ({context}) => context.hasResponseStarted,
	},
	actions: {
		effect(_, _params: {effect: requestState.RequestEffect}) {
			// Carried out by the caller of the pure transition.
		},
	},
});

const addAttemptAction = machineSetup.assign(({context, event}) => {
	xstate.assertEvent(event, requestState.RequestEventType.Placed);
	return addAttempt(context, event);
});

const startResponseAction = machineSetup.assign(({context, event}) => {
	xstate.assertEvent(event, requestState.RequestEventType.ResponseStarted);
	return startResponse(context, event.incarnation);
});

const failAction = machineSetup.assign(({context, event}) => {
	xstate.assertEvent(event, requestState.RequestEventType.Failed);
	return markAttemptRefused(context, event);
});

const codeAction = machineSetup.assign(({context, event}) => {
	if (event.type === requestState.RequestEventType.Failed || event.type === requestState.RequestEventType.Refused) {
		return {...context, code: event.code};
	}

	const code = event.type === requestState.RequestEventType.CallerDisconnected
		? model.ErrorCode.CallerGone
		: model.ErrorCode.DeadlineExceeded;
	return {...context, code};
});

const restartAction = machineSetup.assign(({context}) => ({...context, hasDeliveredText: false}));
const resumeAction = machineSetup.assign(({context}) => ({...context, resumeCount: context.resumeCount + 1}));
const deliverAction = machineSetup.assign(({context}) => ({
	...context, hasResponseStarted: true, hasDeliveredText: true, resumeCount: 0,
}));

function progressAction(progress: attempt.AttemptProgress) {
	return machineSetup.assign(({context}) => withProgress(context, progress));
}

function effect(name: requestState.RequestEffect) {
	return {type: 'effect' as const, params: {effect: name}};
}

function whenDecision(decision: retryDecision.RetryDecision) {
	return {type: 'isDecision' as const, params: {decision}};
}

const failedTransitions = [
	{
		guard: whenDecision(retryDecision.RetryDecision.Resume),
		target: RequestPhase.Resuming,
		actions: [resumeAction, effect(requestState.RequestEffect.Resume)],
	},
	{
		guard: whenDecision(retryDecision.RetryDecision.TryOtherEndpoint),
		target: RequestPhase.Admitted,
		actions: [failAction, effect(requestState.RequestEffect.CountRetry), effect(requestState.RequestEffect.Place)],
	},
	{
		guard: whenDecision(retryDecision.RetryDecision.Continue),
		target: RequestPhase.Continuing,
		actions: [failAction, effect(requestState.RequestEffect.CountRetry), effect(requestState.RequestEffect.Continue)],
	},
	{
		guard: whenDecision(retryDecision.RetryDecision.Restart),
		target: RequestPhase.Continuing,
		actions: [
			failAction,
			restartAction,
			effect(requestState.RequestEffect.Cancel),
			effect(requestState.RequestEffect.CountRetry),
			effect(requestState.RequestEffect.Restart),
		],
	},
	{
		guard: 'hasResponseStarted' as const,
		target: RequestPhase.Refused,
		actions: [failAction, codeAction, effect(requestState.RequestEffect.EndWithError)],
	},
	{
		target: RequestPhase.Refused,
		actions: [failAction, codeAction, effect(requestState.RequestEffect.Refuse)],
	},
];

function endTransitions(cancels: boolean) {
	const cancel = cancels ? [effect(requestState.RequestEffect.Cancel)] : [];
	return [
		{
			guard: 'hasResponseStarted' as const,
			target: RequestPhase.Refused,
			actions: [codeAction, ...cancel, effect(requestState.RequestEffect.EndWithError)],
		},
		{
			target: RequestPhase.Refused,
			actions: [codeAction, ...cancel, effect(requestState.RequestEffect.Refuse)],
		},
	];
}

function endEvents(cancels: boolean) {
	return {
		[requestState.RequestEventType.DeadlinePassed]: endTransitions(cancels),
		[requestState.RequestEventType.CallerDisconnected]: endTransitions(cancels),
	};
}

const placeEvents = {
	[requestState.RequestEventType.Placed]: {
		target: RequestPhase.Placed,
		actions: [addAttemptAction, effect(requestState.RequestEffect.Dispatch)],
	},
	[requestState.RequestEventType.Refused]: endTransitions(false),
	...endEvents(false),
};

const responseEvents = {
	[requestState.RequestEventType.ResponseStarted]: {target: RequestPhase.Relaying, actions: startResponseAction},
	[requestState.RequestEventType.Failed]: failedTransitions,
	...endEvents(true),
};

/** The life of a request, used by pure transitions only. */
export const requestMachine = machineSetup.createMachine({
	context: ({input}) => ({
		options: input, attempts: [], hasResponseStarted: false, hasDeliveredText: false, resumeCount: 0,
	}),
	entry: effect(requestState.RequestEffect.Place),
	initial: RequestPhase.Admitted,
	states: {
		[RequestPhase.Admitted]: {on: placeEvents},
		[RequestPhase.Placed]: {
			on: {
				[requestState.RequestEventType.Connecting]: {actions: progressAction(attempt.AttemptProgress.Connecting)},
				[requestState.RequestEventType.Sending]: {
					target: RequestPhase.Dispatched,
					actions: progressAction(attempt.AttemptProgress.MaybeSent),
				},
				[requestState.RequestEventType.Failed]: failedTransitions,
				...endEvents(false),
			},
		},
		[RequestPhase.Dispatched]: {on: responseEvents},
		[RequestPhase.Relaying]: {
			on: {
				[requestState.RequestEventType.Delivered]: {actions: deliverAction},
				[requestState.RequestEventType.Completed]: {
					target: RequestPhase.Done,
					actions: [progressAction(attempt.AttemptProgress.ResponseComplete), effect(requestState.RequestEffect.Finish)],
				},
				[requestState.RequestEventType.Failed]: failedTransitions,
				...endEvents(true),
			},
		},
		[RequestPhase.Resuming]: {on: responseEvents},
		[RequestPhase.Continuing]: {on: placeEvents},
		[RequestPhase.Done]: {type: 'final'},
		[RequestPhase.Refused]: {type: 'final'},
	},
});

/** A request with its phase. */
export type RequestSnapshot = xstate.SnapshotFrom<typeof requestMachine>;

function listEffects(actions: ReadonlyArray<{readonly type: string; readonly params?: unknown}>): requestState.RequestEffect[] {
	return actions
		.filter(action => action.type === 'effect')
		.map(action => (action.params as {effect: requestState.RequestEffect}).effect);
}

/** Begins the life of an admitted request; the first effect is `place`. */
export function beginRequest(options: requestState.RequestOptions): util.Step<RequestSnapshot, requestState.RequestEffect> {
	const [state, actions] = xstate.initialTransition(requestMachine, options);
	return {state, effects: listEffects(actions)};
}

/**
 * Takes one event of a request's requestState.
 *
 * @throws InvariantError when the event cannot come in the current phase, such as anything after the end.
 */
export function stepRequest(
	state: RequestSnapshot,
	event: requestState.RequestEvent,
	now: number,
): util.Step<RequestSnapshot, requestState.RequestEffect> {
	const machineEvent = {...event, now};
	const {requestId} = state.context.options;
	util.assertInvariant(state.status === 'active', 'request.nothing-after-end', () => `${event.type} for ${requestId} after its end`);
	util.assertInvariant(state.can(machineEvent), 'request.event-in-phase', () => `${event.type} for ${requestId} while ${String(state.value)}`);
	const [next, actions] = xstate.transition(requestMachine, state, machineEvent);
	return {state: next, effects: listEffects(actions)};
}

/** Returns the phase of a request. */
export function getRequestPhase(state: RequestSnapshot): RequestPhase {
	return state.value;
}
