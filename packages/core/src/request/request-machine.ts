import * as xstate from 'xstate';
import * as model from '../model/index.js';
import * as util from '../util/index.js';
import * as attempt from './attempt.js';
import * as retryDecision from './retry-decision.js';
import * as requestState from './request-state.js';

/** Phase of a request. */
export enum RequestPhase {
	/** Waiting for an endpoint. */
	Admitted = 'admitted',
	/** An endpoint was chosen; no byte of the request has been written. */
	Placed = 'placed',
	/** Bytes of the request may have been sent; the response has not started. */
	Dispatched = 'dispatched',
	/** The response of the endpoint is relayed to the caller. */
	Relaying = 'relaying',
	/** Reconnecting to the same incarnation. */
	Resuming = 'resuming',
	/** Waiting for an endpoint that continues or restarts the response. */
	Continuing = 'continuing',
	/** The caller has received the complete response. */
	Done = 'done',
	/** The caller has received a refusal or an error event. */
	Refused = 'refused',
}

type MachineEvent = requestState.RequestEvent & {readonly now: number};

type FailedEvent = Extract<MachineEvent, {readonly type: requestState.RequestEventType.Failed}>;

function withProgress(state: requestState.RequestState, progress: attempt.AttemptProgress): requestState.RequestState {
	const current = state.attempts.at(-1);
	util.assertInvariant(current !== undefined, 'request.has-attempt', () => `request ${state.options.requestId} has no attempt`);
	return {...state, attempts: [...state.attempts.slice(0, -1), {...current, progress}]};
}

function addAttempt(
	state: requestState.RequestState,
	event: {readonly attemptId: model.AttemptId; readonly endpoint: model.EndpointId},
): requestState.RequestState {
	const {requestId, repeatable} = state.options;
	const mayAdd = repeatable || state.attempts.every(item => attempt.isKnownNotExecuted(item));
	util.assertInvariant(
		mayAdd,
		'request.single-dispatch',
		() => `request ${requestId} is not repeatable and may have been executed`,
	);
	const isNew = state.attempts.every(item => item.id !== event.attemptId);
	util.assertInvariant(isNew, 'request.unique-attempt', () => `attempt ${event.attemptId} of request ${requestId} already exists`);
	const next = {id: event.attemptId, endpoint: event.endpoint, progress: attempt.AttemptProgress.NotStarted};
	return {...state, attempts: [...state.attempts, next], resumeCount: 0};
}

function startResponse(state: requestState.RequestState, incarnation: model.Incarnation): requestState.RequestState {
	const next = withProgress(state, attempt.AttemptProgress.ResponseStarted);
	const current = next.attempts.at(-1);
	const knownIncarnation = current?.incarnation;
	const isSame = knownIncarnation === undefined || knownIncarnation === incarnation;
	util.assertInvariant(
		isSame,
		'request.same-incarnation',
		() => `request ${state.options.requestId} changed from incarnation ${knownIncarnation} to ${incarnation}`,
	);
	return {...next, attempts: [...next.attempts.slice(0, -1), {...current!, incarnation}]};
}

function markAttemptRefused(state: requestState.RequestState, event: FailedEvent): requestState.RequestState {
	if (event.cause !== requestState.FailureCause.Refused) {
		return state;
	}

	const current = state.attempts.at(-1);
	const isResponding = current?.progress === attempt.AttemptProgress.ResponseStarted;
	util.assertInvariant(
		!isResponding,
		'request.refusal-before-answer',
		() => `attempt ${current?.id} was refused after its response started`,
	);
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
		canResumeWithoutAlternative: ({context}) => retryDecision.canResumeWithoutAlternative(context),
	},
	actions: {
		effect(_, _params: {effect: requestState.RequestEffect}) {
			// The caller of the pure transition carries out the effect.
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
	return {...markAttemptRefused(context, event), lastFailure: event.cause};
});

const setCodeAction = machineSetup.assign(({context, event}) => {
	if (event.type === requestState.RequestEventType.Failed || event.type === requestState.RequestEventType.Refused) {
		return {...context, code: event.code};
	}

	const code = event.type === requestState.RequestEventType.CallerDisconnected
		? model.ErrorCode.CallerDisconnected
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
		actions: [failAction, resumeAction, effect(requestState.RequestEffect.Resume)],
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
		actions: [failAction, setCodeAction, effect(requestState.RequestEffect.EndWithError)],
	},
	{
		target: RequestPhase.Refused,
		actions: [failAction, setCodeAction, effect(requestState.RequestEffect.Refuse)],
	},
];

function createEndTransitions(isCancelNeeded: boolean) {
	const cancelEffects = isCancelNeeded ? [effect(requestState.RequestEffect.Cancel)] : [];
	return [
		{
			guard: 'hasResponseStarted' as const,
			target: RequestPhase.Refused,
			actions: [setCodeAction, ...cancelEffects, effect(requestState.RequestEffect.EndWithError)],
		},
		{
			target: RequestPhase.Refused,
			actions: [setCodeAction, ...cancelEffects, effect(requestState.RequestEffect.Refuse)],
		},
	];
}

function createEndEvents(isCancelNeeded: boolean) {
	return {
		[requestState.RequestEventType.DeadlinePassed]: createEndTransitions(isCancelNeeded),
		[requestState.RequestEventType.CallerDisconnected]: createEndTransitions(isCancelNeeded),
	};
}

const placeEvents = {
	[requestState.RequestEventType.Placed]: {
		target: RequestPhase.Placed,
		actions: [addAttemptAction, effect(requestState.RequestEffect.Dispatch)],
	},
	[requestState.RequestEventType.Refused]: [
		{
			guard: 'canResumeWithoutAlternative' as const,
			target: RequestPhase.Resuming,
			actions: [resumeAction, effect(requestState.RequestEffect.Resume)],
		},
		...createEndTransitions(false),
	],
	...createEndEvents(false),
};

const responseEvents = {
	[requestState.RequestEventType.ResponseStarted]: {target: RequestPhase.Relaying, actions: startResponseAction},
	[requestState.RequestEventType.Failed]: failedTransitions,
	...createEndEvents(true),
};

/** State machine of a request; used only through pure transitions. */
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
				...createEndEvents(false),
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
				...createEndEvents(true),
			},
		},
		[RequestPhase.Resuming]: {on: responseEvents},
		[RequestPhase.Continuing]: {on: placeEvents},
		[RequestPhase.Done]: {type: 'final'},
		[RequestPhase.Refused]: {type: 'final'},
	},
});

/** Snapshot of the request state machine: the state of a request and its phase. */
export type RequestSnapshot = xstate.SnapshotFrom<typeof requestMachine>;

function listEffects(actions: ReadonlyArray<{readonly type: string; readonly params?: unknown}>): requestState.RequestEffect[] {
	return actions
		.filter(action => action.type === 'effect')
		.map(action => (action.params as {effect: requestState.RequestEffect}).effect);
}

/** Creates the state of an admitted request; its first effect is `place`. */
export function beginRequest(options: requestState.RequestOptions): util.Step<RequestSnapshot, requestState.RequestEffect> {
	const [state, actions] = xstate.initialTransition(requestMachine, options);
	return {state, effects: listEffects(actions)};
}

/**
 * Applies an event to a request.
 *
 * @throws InvariantError when the event is not allowed in the current phase, such as any event after the end.
 */
export function stepRequest(
	state: RequestSnapshot,
	event: requestState.RequestEvent,
	now: number,
): util.Step<RequestSnapshot, requestState.RequestEffect> {
	const machineEvent = {...event, now};
	const {requestId} = state.context.options;
	util.assertInvariant(
		state.status === 'active',
		'request.nothing-after-end',
		() => `event ${event.type} for request ${requestId} after its end`,
	);
	util.assertInvariant(
		state.can(machineEvent),
		'request.event-in-phase',
		() => `event ${event.type} for request ${requestId} in phase ${String(state.value)}`,
	);
	const [next, actions] = xstate.transition(requestMachine, state, machineEvent);
	return {state: next, effects: listEffects(actions)};
}

export function getRequestPhase(state: RequestSnapshot): RequestPhase {
	return state.value;
}
