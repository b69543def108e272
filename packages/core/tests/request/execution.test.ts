import {expect} from 'chai';
import fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {AttemptProgress: step, PriorExecution: prior} = core.request;
const {ExecutionState: executionState} = core.model;

function attemptsOf(...steps: core.request.AttemptProgress[]): core.request.Attempt[] {
	return steps.map((progress, index) => ({id: `a${index}`, endpoint: 'e', progress}));
}

describe('decideExecution', () => {
	const cases: Array<[string, core.request.Attempt[], boolean, core.request.PriorExecution, core.model.ExecutionState]> = [
		['no attempt', [], false, prior.None, executionState.NotRun],
		['no attempt, to be sent later', [], true, prior.None, executionState.Unknown],
		['only connecting', attemptsOf(step.Connecting), false, prior.None, executionState.NotRun],
		['refused by the endpoint', attemptsOf(step.RefusedBeforeExecution), false, prior.None, executionState.NotRun],
		['bytes may have been sent', attemptsOf(step.RefusedBeforeExecution, step.MaybeSent), false, prior.None, executionState.Unknown],
		['answer begun', attemptsOf(step.ResponseStarted), false, prior.None, executionState.Unknown],
		['answered whole', attemptsOf(step.MaybeSent, step.ResponseComplete), false, prior.None, executionState.Done],
		['an earlier request may have run', [], false, prior.Possible, executionState.Unknown],
		['an earlier request has run', [], false, prior.Done, executionState.Done],
	];
	for (const [title, attempts, maySendAgain, priorRun, expected] of cases) {
		it(`gives ${expected} for: ${title}`, () => {
			expect(core.request.decideExecution(attempts, maySendAgain, priorRun)).to.equal(expected);
		});
	}

	it('never says not_run once a byte may have been sent', () => {
		const arbitrary = fc.array(fc.constantFrom(...Object.values(step)));
		fc.assert(fc.property(arbitrary, progress => {
			const state = core.request.decideExecution(attemptsOf(...progress), false);
			const maySend = progress.some(item => [step.MaybeSent, step.ResponseStarted, step.ResponseComplete].includes(item));
			expect(state === executionState.NotRun).to.equal(!maySend);
		}), {seed: 4});
	});
});

describe('createRefusal', () => {
	it('rounds the time to come back up and leaves absent parts out', () => {
		const refusal = core.request.createRefusal(core.model.ErrorCode.Overloaded, [], {message: 'full', retryAfterMs: 0.2});
		expect(refusal).to.deep.equal({
			code: core.model.ErrorCode.Overloaded, execution: executionState.NotRun, message: 'full', retryAfterMs: 1,
		});
	});
});
