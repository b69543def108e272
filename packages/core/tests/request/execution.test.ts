import {expect} from 'chai';
import fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {AttemptProgress: progressValues, PriorExecution: priorExecutions} = core.request;
const {ExecutionState: executionState} = core.model;

function attemptsOf(...progressList: core.request.AttemptProgress[]): core.request.Attempt[] {
	return progressList.map((progress, index) => ({id: `a${index}`, endpoint: 'e', progress}));
}

describe('decideExecution', () => {
	const cases: Array<[string, core.request.Attempt[], boolean, core.request.PriorExecution, core.model.ExecutionState]> = [
		['no attempt', [], false, priorExecutions.None, executionState.NotRun],
		['no attempt, while the request may still be sent', [], true, priorExecutions.None, executionState.Unknown],
		['a connection being opened', attemptsOf(progressValues.Connecting), false, priorExecutions.None, executionState.NotRun],
		['a refusal by the endpoint before execution', attemptsOf(progressValues.RefusedBeforeExecution), false, priorExecutions.None, executionState.NotRun],
		['an attempt whose bytes may have been sent', attemptsOf(progressValues.RefusedBeforeExecution, progressValues.MaybeSent), false, priorExecutions.None, executionState.Unknown],
		['a started response', attemptsOf(progressValues.ResponseStarted), false, priorExecutions.None, executionState.Unknown],
		['a complete response', attemptsOf(progressValues.MaybeSent, progressValues.ResponseComplete), false, priorExecutions.None, executionState.Done],
		['an earlier request that may have been executed', [], false, priorExecutions.Possible, executionState.Unknown],
		['an earlier request that was executed', [], false, priorExecutions.Done, executionState.Done],
	];
	for (const [title, attempts, maySendAgain, priorExecution, expected] of cases) {
		it(`returns ${expected} for ${title}`, () => {
			expect(core.request.decideExecution(attempts, maySendAgain, priorExecution)).to.equal(expected);
		});
	}

	it('returns not_run only when no byte can have been sent', () => {
		const arbitrary = fc.array(fc.constantFrom(...Object.values(progressValues)));
		fc.assert(fc.property(arbitrary, progress => {
			const state = core.request.decideExecution(attemptsOf(...progress), false);
			const maybeSent = progress.some(item => [progressValues.MaybeSent, progressValues.ResponseStarted, progressValues.ResponseComplete].includes(item));
			expect(state === executionState.NotRun).to.equal(!maybeSent);
		}), {seed: 4});
	});
});

describe('createRefusal', () => {
	it('rounds retryAfterMs up and omits absent fields', () => {
		const refusal = core.request.createRefusal(core.model.ErrorCode.Overloaded, [], {message: 'full', retryAfterMs: 0.2});
		expect(refusal).to.deep.equal({
			code: core.model.ErrorCode.Overloaded, execution: executionState.NotRun, message: 'full', retryAfterMs: 1,
		});
	});
});
