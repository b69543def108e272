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
	const cases: ReadonlyArray<{name: string; tries: standIns.load.Outcome[]; runs: number; finding?: string}> = [
		{name: 'answered and ran once', tries: [outcomes.Answered], runs: 1},
		{name: 'answered after a lost answer and ran once', tries: [outcomes.Lost, outcomes.Answered], runs: 1},
		{name: 'unknown and did not run', tries: [outcomes.RefusedUnknown], runs: 0},
		{name: 'unknown and ran', tries: [outcomes.RefusedUnknown], runs: 1},
		{name: 'refused and did not run', tries: [outcomes.RefusedNotRun, outcomes.RefusedNotRun], runs: 0},
		{
			name: 'ran twice', tries: [outcomes.Lost], runs: 2, finding: 'ran 2 times',
		},
		{
			name: 'answered and never ran', tries: [outcomes.Answered], runs: 0, finding: 'never ran',
		},
		{
			name: 'said to be done and never ran', tries: [outcomes.RefusedDone], runs: 0, finding: 'never ran',
		},
		{
			name: 'refused as not run and ran', tries: [outcomes.RefusedNotRun], runs: 1, finding: 'refused as not run but ran',
		},
	];
	for (const {name, tries, runs, finding} of cases) {
		it(`${finding === undefined ? 'takes' : 'finds'} a booking that was ${name}`, () => {
			const executions = Array.from({length: runs}, () => execution);
			const findings = standIns.check.checkBookings([booking(...tries)], executions);
			expect(findings).to.have.length(finding === undefined ? 0 : 1);
			expect(findings.join('')).to.include(finding ?? '');
		});
	}

	it('finds an execution of another account\'s booking', () => {
		const findings = standIns.check.checkBookings([booking(outcomes.RefusedNotRun)], [{...execution, account: 'school'}]);
		expect(findings).to.deep.equal(['booking 1 of school ran but was never sent']);
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
		{name: 'own cache', record: {}, findings: 0},
		{name: 'cache of another account', record: {account: 'school'}, findings: 1},
		{name: 'cache of other weights', record: {weights: 'm@2'}, findings: 1},
		{name: 'recalled weights in time', record: {weights: 'm@0', hits: []}, findings: 0},
		{name: 'recalled weights too late', record: {weights: 'm@0', hits: [], arrivedAt: 201}, findings: 1},
	];
	for (const {name, record: more, findings} of cases) {
		it(`has ${findings} findings on ${name}`, () => {
			const recalls = [{weights: 'm@0', effectiveAt: 200}];
			expect(standIns.check.checkEngines([{...record, ...more}], recalls)).to.have.length(findings);
		});
	}
});

describe('checkLeaving', () => {
	const leaves = [{endpoint: 'e', from: 1000, to: 9000}];
	const cases: ReadonlyArray<{at: number; endpoint: string; findings: number}> = [
		{at: 3900, endpoint: 'e', findings: 0},
		{at: 4100, endpoint: 'e', findings: 1},
		{at: 4100, endpoint: 'f', findings: 0},
		{at: 9100, endpoint: 'e', findings: 0},
	];
	for (const {at, endpoint, findings} of cases) {
		it(`has ${findings} findings on work at ${endpoint} at ${at}`, () => {
			expect(standIns.check.checkLeaving([{endpoint, at, request: 'q'}], leaves)).to.have.length(findings);
		});
	}
});

describe('checkCounts', () => {
	const counts: standIns.load.OutcomeCounts = {
		sent: 6, answered: 1, refused_not_run: 1, refused_unknown: 1, refused_done: 1, interrupted: 1, lost: 1, wrong: 0, // eslint-disable-line @typescript-eslint/naming-convention
	};
	it('takes counts that add up', () => {
		expect(standIns.check.checkCounts('questions', counts)).to.deep.equal([]);
		expect(standIns.check.checkNoneIncomplete('questions', counts)).to.have.length(2);
	});

	it('finds a request that never ended and a wrong answer', () => {
		expect(standIns.check.checkCounts('questions', {...counts, sent: 7})).to.have.length(1);
		expect(standIns.check.checkCounts('questions', {...counts, lost: 0, wrong: 1})).to.have.length(1);
	});
});
