import {expect} from 'chai';
import fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {ChunkVerdict: verdict} = core.request;

function chunk(eventId: number, changes: Partial<core.request.StreamChunk> = {}): core.request.StreamChunk {
	return {
		attemptId: 'a', incarnation: 'i', eventId, text: `t${eventId} `, ...changes,
	};
}

function accept(chunks: core.request.StreamChunk[]) {
	let stream = core.request.createStream('a');
	const verdicts = [];
	for (const item of chunks) {
		const result = core.request.acceptChunk(stream, item);
		stream = result.stream;
		verdicts.push(result.verdict);
	}

	return {stream, verdicts};
}

describe('AssembledStream', () => {
	const cases: Array<[string, core.request.StreamChunk, core.request.ChunkVerdict]> = [
		['the next event', chunk(1), verdict.Deliver],
		['an event that was already delivered', chunk(0), verdict.Duplicate],
		['an event after a gap', chunk(2), verdict.Gap],
		['an event of another attempt', chunk(1, {attemptId: 'b'}), verdict.WrongAttempt],
		['an event of another incarnation', chunk(1, {incarnation: 'j'}), verdict.WrongIncarnation],
	];
	for (const [title, item, expected] of cases) {
		it(`returns ${expected} for ${title}`, () => {
			expect(accept([chunk(0), item]).verdicts[1]).to.equal(expected);
		});
	}

	it('delivers a prefix of the response in order for any sequence of events', () => {
		const arbitrary = fc.array(fc.tuple(fc.nat(6), fc.constantFrom('a', 'b'), fc.constantFrom('i', 'j')), {maxLength: 60});
		fc.assert(fc.property(arbitrary, items => {
			const {stream} = accept([
				chunk(0),
				...items.map(([eventId, attemptId, incarnation]) => chunk(eventId, {attemptId, incarnation})),
			]);
			const whole = Array.from({length: 7}, (_, index) => `t${index} `).join('');
			expect(whole.startsWith(stream.text)).to.equal(true);
			expect(stream.nextCallerEventId).to.equal(stream.lastEventId + 1);
		}), {seed: 4});
	});

	it('continues and restarts with another attempt while caller event ids keep increasing', () => {
		const {stream} = accept([chunk(0), chunk(1)]);
		const continued = core.request.acceptChunk(core.request.continueStream(stream, 'b'), chunk(0, {attemptId: 'b', text: 'more'})).stream;
		expect(continued.text).to.equal('t0 t1 more');
		expect(continued.nextCallerEventId).to.equal(3);
		const restarted = core.request.restartStream(continued, 'c');
		expect(restarted.text).to.equal('');
		expect(restarted.nextCallerEventId).to.equal(4);
		expect(() => core.request.continueStream(core.request.endStream(restarted), 'd')).to.throw('stream.nothing-after-end');
	});
});

describe('RetryBudget', () => {
	it('limits retries to the ratio of first attempts once the saved retries are spent', () => {
		let budget = core.request.createRetryBudget({retryRatio: 0.1, maxTokens: 5});
		let retries = 0;
		for (let index = 0; index < 1000; index += 1) {
			budget = core.request.recordFirstAttempt(budget);
			if (core.request.canRetry(budget)) {
				budget = core.request.spendRetry(budget);
				retries += 1;
			}
		}

		expect(retries).to.be.within(100, 105);
	});
});
