import {expect} from 'chai';
import fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {AttemptProgress: step, PriorRun: prior} = core.request;
const {ExecutionState: executionState} = core.model;

function attemptsOf(...steps: core.request.AttemptProgress[]): core.request.Attempt[] {
	return steps.map((progress, index) => ({id: `a${index}`, endpoint: 'e', progress}));
}

describe('decideExecution', () => {
	const cases: Array<[string, core.request.Attempt[], boolean, core.request.PriorRun, core.model.ExecutionState]> = [
		['no attempt', [], false, prior.None, executionState.NotRun],
		['no attempt, to be sent later', [], true, prior.None, executionState.Unknown],
		['only connecting', attemptsOf(step.Connecting), false, prior.None, executionState.NotRun],
		['refused by the endpoint', attemptsOf(step.RefusedBeforeBegin), false, prior.None, executionState.NotRun],
		['bytes may have been sent', attemptsOf(step.RefusedBeforeBegin, step.MaybeSent), false, prior.None, executionState.Unknown],
		['answer begun', attemptsOf(step.AnswerBegun), false, prior.None, executionState.Unknown],
		['answered whole', attemptsOf(step.MaybeSent, step.AnsweredWhole), false, prior.None, executionState.Done],
		['an earlier request may have run', [], false, prior.Possible, executionState.Unknown],
		['an earlier request has run', [], false, prior.Done, executionState.Done],
	];
	for (const [title, attempts, willSendAgain, priorRun, expected] of cases) {
		it(`gives ${expected} for: ${title}`, () => {
			expect(core.request.decideExecution(attempts, willSendAgain, priorRun)).to.equal(expected);
		});
	}

	it('never says not_run once a byte may have been sent', () => {
		const arbitrary = fc.array(fc.constantFrom(...Object.values(step)));
		fc.assert(fc.property(arbitrary, progress => {
			const state = core.request.decideExecution(attemptsOf(...progress), false);
			const maySend = progress.some(item => [step.MaybeSent, step.AnswerBegun, step.AnsweredWhole].includes(item));
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
