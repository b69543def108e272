import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const outcomes = standIns.load.Outcome;

function booking(...seen: standIns.load.Outcome[]): standIns.load.BookingRecord {
	return {
		account: 'club', key: 'k', order: '1', tries: seen.map(outcome => ({outcome})),
	};
}

const execution: standIns.plainService.Execution = {
	runner: 'r', arrivedAt: 0, at: 0, method: 'POST', path: '/bookings', requestId: 'q', attemptId: 'a', account: 'club', idempotencyKey: 'k', order: '1',
};

describe('checkBookings', () => {
	const cases: ReadonlyArray<{name: string; tries: standIns.load.Outcome[]; executionCount: number; finding?: string}> = [
		{name: 'answered and executed once', tries: [outcomes.Answered], executionCount: 1},
		{name: 'lost, then answered, and executed once', tries: [outcomes.Lost, outcomes.Answered], executionCount: 1},
		{name: 'refused as unknown and not executed', tries: [outcomes.RefusedUnknown], executionCount: 0},
		{name: 'refused as unknown and executed', tries: [outcomes.RefusedUnknown], executionCount: 1},
		{name: 'refused twice as not executed and never executed', tries: [outcomes.RefusedNotRun, outcomes.RefusedNotRun], executionCount: 0},
		{
			name: 'executed twice', tries: [outcomes.Lost], executionCount: 2, finding: 'was executed 2 times',
		},
		{
			name: 'answered but never executed', tries: [outcomes.Answered], executionCount: 0, finding: 'was reported as executed but never was',
		},
		{
			name: 'refused as executed but never executed', tries: [outcomes.RefusedDone], executionCount: 0, finding: 'was reported as executed but never was',
		},
		{
			name: 'refused as not executed but executed', tries: [outcomes.RefusedNotRun], executionCount: 1, finding: 'refused as not executed but was executed',
		},
	];
	for (const {name, tries, executionCount, finding} of cases) {
		it(`${finding === undefined ? 'accepts' : 'reports'} a booking that was ${name}`, () => {
			const executions = Array.from({length: executionCount}, () => execution);
			const findings = standIns.check.checkBookings([booking(...tries)], executions);
			expect(findings).to.have.length(finding === undefined ? 0 : 1);
			expect(findings.join('')).to.include(finding ?? '');
		});
	}

	it('reports an execution for an account that did not send the booking', () => {
		const findings = standIns.check.checkBookings([booking(outcomes.RefusedNotRun)], [{...execution, account: 'school'}]);
		expect(findings).to.deep.equal(['booking 1 of school was executed but never sent']);
	});
});

describe('checkEngines', () => {
	const hit = {
		key: 'k', salt: 's', tokens: 1, account: 'club', weights: 'm@1',
	};
	const record: standIns.engine.EngineRecord = {
		engine: 'e', incarnation: 'i', arrivedAt: 100, requestId: 'q', attemptId: 'a', account: 'club', weights: 'm@1', salt: 's', promptTokens: 1, hits: [hit],
	};
	const cases: ReadonlyArray<{name: string; record: Partial<standIns.engine.EngineRecord>; findings: number}> = [
		{name: 'cache entries of the same account and weights', record: {}, findings: 0},
		{name: 'cache entries of another account', record: {account: 'school'}, findings: 1},
		{name: 'cache entries of other weights', record: {weights: 'm@2'}, findings: 1},
		{name: 'a request for recalled weights before the recall is effective', record: {weights: 'm@0', hits: []}, findings: 0},
		{name: 'a request for recalled weights after the recall is effective', record: {weights: 'm@0', hits: [], arrivedAt: 201}, findings: 1},
	];
	for (const {name, record: overrides, findings} of cases) {
		it(`returns ${findings} findings for ${name}`, () => {
			const recalls = [{weights: 'm@0', effectiveAt: 200}];
			expect(standIns.check.checkEngines([{...record, ...overrides}], recalls)).to.have.length(findings);
		});
	}
});

describe('checkLeaving', () => {
	const leavePeriods = [{endpoint: 'e', from: 1000, to: 9000}];
	const cases: ReadonlyArray<{at: number; endpoint: string; findings: number}> = [
		{at: 3900, endpoint: 'e', findings: 0},
		{at: 4100, endpoint: 'e', findings: 1},
		{at: 4100, endpoint: 'f', findings: 0},
		{at: 9100, endpoint: 'e', findings: 0},
	];
	for (const {at, endpoint, findings} of cases) {
		it(`returns ${findings} findings for a request to ${endpoint} at ${at} ms when e is leaving from 1000 to 9000 ms, with 3000 ms of grace`, () => {
			expect(standIns.check.checkLeaving([{endpoint, at, request: 'q'}], leavePeriods)).to.have.length(findings);
		});
	}
});

describe('checkCounts', () => {
	const counts: standIns.load.OutcomeCounts = {
		sent: 6, answered: 1, refused_not_run: 1, refused_unknown: 1, refused_done: 1, interrupted: 1, lost: 1, wrong: 0, // eslint-disable-line @typescript-eslint/naming-convention
	};
	it('accepts counts of outcomes that add up to the requests sent, and reports lost and interrupted ones as incomplete', () => {
		expect(standIns.check.checkCounts('questions', counts)).to.deep.equal([]);
		expect(standIns.check.checkNoneIncomplete('questions', counts)).to.have.length(2);
	});

	it('reports a request without an outcome and a wrong answer', () => {
		expect(standIns.check.checkCounts('questions', {...counts, sent: 7})).to.have.length(1);
		expect(standIns.check.checkCounts('questions', {...counts, lost: 0, wrong: 1})).to.have.length(1);
	});
});
