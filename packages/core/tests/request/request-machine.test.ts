import {expect} from 'chai';
import fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {RequestEventType: eventType, RequestEffect: effectName, RequestPhase: phaseName, FailureCause: causes} = core.request;

function termsWith(changes: Partial<core.request.RequestOptions>): core.request.RequestOptions {
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

const sending: core.request.RequestEvent = {type: eventType.Sending};
const begun: core.request.RequestEvent = {type: eventType.ResponseStarted, incarnation: 'i'};
const delivered: core.request.RequestEvent = {type: eventType.Delivered};

function run(options: Partial<core.request.RequestOptions>, events: core.request.RequestEvent[], now = 0) {
	let step = core.request.beginRequest(termsWith(options));
	for (const event of events) {
		step = core.request.stepRequest(step.state, event, now);
	}

	return step;
}

describe('requestMachine', () => {
	const first = [placed('a1'), sending];
	const streaming = [...first, begun, delivered];
	const lost = failed(causes.ConnectionLost);
	type Case = [string, Partial<core.request.RequestOptions>, core.request.RequestEvent[], core.request.RequestPhase, core.request.RequestEffect[]];
	const cases: Case[] = [
		['tries elsewhere before anything is delivered', {}, [...first, lost], phaseName.Admitted, [effectName.CountRetry, effectName.Place]],
		['ends without a retry budget', {}, [...first, failed(causes.ConnectionLost, false)], phaseName.Refused, [effectName.Refuse]],
		['ends a non-repeatable request after a byte', {repeatable: false}, [...first, lost], phaseName.Refused, [effectName.Refuse]],
		[
			'tries a non-repeatable request again when the endpoint refused it before it began',
			{repeatable: false},
			[...first, failed(causes.Refused)],
			phaseName.Admitted,
			[effectName.CountRetry, effectName.Place],
		],
		['resumes on the same incarnation', {}, [...streaming, lost], phaseName.Resuming, [effectName.Resume]],
		['continues when the engine is gone', {}, [...streaming, failed(causes.EndpointGone)], phaseName.Continuing, [effectName.CountRetry, effectName.Continue]],
		['continues after too many resumes', {}, [...streaming, lost, lost, lost], phaseName.Continuing, [effectName.CountRetry, effectName.Continue]],
		[
			'ends with a typed error when the engine cannot continue',
			{supportsForcedPrefix: false},
			[...streaming, failed(causes.EndpointGone)],
			phaseName.Refused,
			[effectName.EndWithError],
		],
		[
			'restarts on recalled weights',
			{supportsForcedPrefix: false},
			[...streaming, failed(causes.WeightsRecalled)],
			phaseName.Continuing,
			[effectName.Cancel, effectName.CountRetry, effectName.Restart],
		],
		['finishes', {}, [...streaming, {type: eventType.Completed}], phaseName.Done, [effectName.Finish]],
		['cancels for a caller who went away', {}, [...first, {type: eventType.CallerDisconnected}], phaseName.Refused, [effectName.Cancel, effectName.Refuse]],
		['refuses without an endpoint', {}, [{type: eventType.Refused, code: core.model.ErrorCode.NoEndpoint}], phaseName.Refused, [effectName.Refuse]],
	];
	for (const [title, options, events, phase, effects] of cases) {
		it(title, () => {
			const step = run(options, events);
			expect(core.request.getRequestPhase(step.state)).to.equal(phase);
			expect(step.effects).to.deep.equal(effects);
		});
	}

	it('does not try again after the deadline', () => {
		expect(run({}, [...first, lost], 1000).effects).to.deep.equal([effectName.Refuse]);
	});

	it('takes nothing after the final answer', () => {
		expect(() => run({}, [...streaming, {type: eventType.Completed}, delivered])).to.throw('request.nothing-after-end');
	});

	it('holds its promises over generated events', () => {
		const event = fc.oneof(
			fc.integer({min: 0, max: 20}).map(id => placed(`a${id}`)),
			fc.constantFrom<core.request.RequestEvent>(sending, begun, delivered, {type: eventType.Connecting}, {type: eventType.Completed}, {type: eventType.CallerDisconnected}),
			fc.constantFrom(...Object.values(causes)).map(cause => failed(cause)),
		);
		fc.assert(fc.property(fc.boolean(), fc.array(event, {maxLength: 40}), (repeatable, events) => {
			let step = core.request.beginRequest(termsWith({repeatable}));
			let acting = 0;
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

				acting += item.type === eventType.Sending ? 1 : 0;
				acting -= item.type === eventType.Failed && item.cause === causes.Refused && core.request.getRequestPhase(step.state) === phaseName.Dispatched ? 1 : 0;
				step = core.request.stepRequest(step.state, item, 0);
				expect(repeatable || acting <= 1).to.equal(true);
				const {attempts, hasResponseStarted, options} = step.state.context;
				expect(attempts.length).to.be.at.most(options.maxAttempts);
				expect(hasResponseStarted && step.effects.includes(effectName.Refuse)).to.equal(false);
			}
		}), {seed: 4, numRuns: 500});
	});
});
