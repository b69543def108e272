import {expect} from 'chai';
import fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {RequestEventType: eventType, RequestEffect: effectName, RequestPhase: phases, FailureCause: causes} = core.request;

function optionsWith(changes: Partial<core.request.RequestOptions>): core.request.RequestOptions {
	return {
		requestId: 'r',
		repeatable: true,
		deadlineAt: 1000,
		maxAttempts: 3,
		maxResumes: 2,
		resumable: true,
		supportsForcedPrefix: true,
		...changes,
	};
}

function failed(cause: core.request.FailureCause, retryAllowed = true): core.request.RequestEvent {
	return {
		type: eventType.Failed, cause, retryAllowed, code: core.model.ErrorCode.EndpointFailed,
	};
}

function placed(attemptId: string): core.request.RequestEvent {
	return {type: eventType.Placed, attemptId, endpoint: 'e'};
}

const noEndpoint: core.request.RequestEvent = {type: eventType.Refused, code: core.model.ErrorCode.NoEndpoint};
const sending: core.request.RequestEvent = {type: eventType.Sending};
const responseStarted: core.request.RequestEvent = {type: eventType.ResponseStarted, incarnation: 'i'};
const delivered: core.request.RequestEvent = {type: eventType.Delivered};

function run(options: Partial<core.request.RequestOptions>, events: core.request.RequestEvent[], now = 0) {
	let step = core.request.beginRequest(optionsWith(options));
	for (const event of events) {
		step = core.request.stepRequest(step.state, event, now);
	}

	return step;
}

describe('requestMachine', () => {
	const first = [placed('a1'), sending];
	const streaming = [...first, responseStarted, delivered];
	const lost = failed(causes.ConnectionLost);
	const unreachable = failed(causes.ConnectFailed);
	type Case = [string, Partial<core.request.RequestOptions>, core.request.RequestEvent[], core.request.RequestPhase, core.request.RequestEffect[]];
	const cases: Case[] = [
		['retries at another endpoint when nothing was delivered', {}, [...first, lost], phases.Admitted, [effectName.CountRetry, effectName.Place]],
		['ends when the retry budget does not allow a retry', {}, [...first, failed(causes.ConnectionLost, false)], phases.Refused, [effectName.Refuse]],
		['ends a non-repeatable request once a byte may have been sent', {repeatable: false}, [...first, lost], phases.Refused, [effectName.Refuse]],
		[
			'retries a non-repeatable request when the endpoint refused it before execution',
			{repeatable: false},
			[...first, failed(causes.Refused)],
			phases.Admitted,
			[effectName.CountRetry, effectName.Place],
		],
		['resumes at the same incarnation after a lost connection', {}, [...streaming, lost], phases.Resuming, [effectName.Resume]],
		['continues at another endpoint when the engine no longer exists', {}, [...streaming, failed(causes.EndpointGone)], phases.Continuing, [effectName.CountRetry, effectName.Continue]],
		['continues at another endpoint after the maximum number of resumes', {}, [...streaming, lost, lost, lost], phases.Continuing, [effectName.CountRetry, effectName.Continue]],
		[
			'ends with an error event when engines cannot continue from a given text',
			{supportsForcedPrefix: false},
			[...streaming, failed(causes.EndpointGone)],
			phases.Refused,
			[effectName.EndWithError],
		],
		[
			'continues at another endpoint when the engine of a stream cannot be connected to',
			{},
			[...streaming, lost, unreachable],
			phases.Continuing,
			[effectName.CountRetry, effectName.Continue],
		],
		// These guard against streams that end because their engine was unreachable for a moment.
		[
			'resumes again when the engine cannot be connected to and no endpoint can continue the stream',
			{},
			[...streaming, lost, unreachable, noEndpoint],
			phases.Resuming,
			[effectName.Resume],
		],
		[
			'resumes again when the engine cannot be connected to and engines cannot continue from a given text',
			{supportsForcedPrefix: false},
			[...streaming, lost, unreachable],
			phases.Resuming,
			[effectName.Resume],
		],
		[
			'resumes again when the engine cannot be connected to and the retry budget does not allow a retry',
			{},
			[...streaming, lost, failed(causes.ConnectFailed, false)],
			phases.Resuming,
			[effectName.Resume],
		],
		[
			'resumes again when the engine cannot be connected to, nothing was delivered and there is no other endpoint',
			{},
			[...first, responseStarted, lost, unreachable, noEndpoint],
			phases.Resuming,
			[effectName.Resume],
		],
		[
			'ends after the maximum number of resumes that could not connect',
			{},
			[...streaming, lost, unreachable, noEndpoint, unreachable, noEndpoint],
			phases.Refused,
			[effectName.EndWithError],
		],
		[
			'does not resume at an engine that no longer exists when no endpoint can continue the stream',
			{},
			[...streaming, lost, failed(causes.EndpointGone), noEndpoint],
			phases.Refused,
			[effectName.EndWithError],
		],
		[
			'does not resume on recalled weights when no endpoint can restart the stream',
			{},
			[...streaming, lost, failed(causes.WeightsRecalled), noEndpoint],
			phases.Refused,
			[effectName.EndWithError],
		],
		[
			'restarts when the weights were recalled',
			{supportsForcedPrefix: false},
			[...streaming, failed(causes.WeightsRecalled)],
			phases.Continuing,
			[effectName.Cancel, effectName.CountRetry, effectName.Restart],
		],
		['finishes when the response is complete', {}, [...streaming, {type: eventType.Completed}], phases.Done, [effectName.Finish]],
		['cancels the attempt when the caller disconnects', {}, [...first, {type: eventType.CallerDisconnected}], phases.Refused, [effectName.Cancel, effectName.Refuse]],
		['refuses when no endpoint is available', {}, [noEndpoint], phases.Refused, [effectName.Refuse]],
	];
	for (const [title, options, events, phase, effects] of cases) {
		it(title, () => {
			const step = run(options, events);
			expect(core.request.getRequestPhase(step.state)).to.equal(phase);
			expect(step.effects).to.deep.equal(effects);
		});
	}

	it('does not retry after the deadline', () => {
		expect(run({}, [...first, lost], 1000).effects).to.deep.equal([effectName.Refuse]);
	});

	it('rejects events after the complete response', () => {
		expect(() => run({}, [...streaming, {type: eventType.Completed}, delivered])).to.throw('request.nothing-after-end');
	});

	it('keeps a non-repeatable request to one execution, keeps to the maximum of attempts and does not refuse after a started response', () => {
		const event = fc.oneof(
			fc.integer({min: 0, max: 20}).map(id => placed(`a${id}`)),
			fc.constantFrom<core.request.RequestEvent>(sending, responseStarted, delivered, {type: eventType.Connecting}, {type: eventType.Completed}, {type: eventType.CallerDisconnected}),
			fc.constantFrom(...Object.values(causes)).map(cause => failed(cause)),
		);
		fc.assert(fc.property(fc.boolean(), fc.array(event, {maxLength: 40}), (repeatable, events) => {
			let step = core.request.beginRequest(optionsWith({repeatable}));
			let possibleExecutions = 0;
			for (const item of events) {
				if (step.state.status !== 'active' || !step.state.can({...item, now: 0})) {
					continue;
				}

				if (item.type === eventType.Placed && step.state.context.attempts.some(attempt => attempt.id === item.attemptId)) {
					continue;
				}

				if (item.type === eventType.Failed && item.cause === causes.Refused && step.state.context.attempts.at(-1)?.progress === core.request.AttemptProgress.ResponseStarted) {
					continue;
				}

				possibleExecutions += item.type === eventType.Sending ? 1 : 0;
				possibleExecutions -= item.type === eventType.Failed && item.cause === causes.Refused && core.request.getRequestPhase(step.state) === phases.Dispatched ? 1 : 0;
				step = core.request.stepRequest(step.state, item, 0);
				expect(repeatable || possibleExecutions <= 1).to.equal(true);
				const {attempts, hasResponseStarted, options} = step.state.context;
				expect(attempts.length).to.be.at.most(options.maxAttempts);
				expect(hasResponseStarted && step.effects.includes(effectName.Refuse)).to.equal(false);
			}
		}), {seed: 4, numRuns: 500});
	});
});
