import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('BlockedTimes', () => {
	const cases = [
		{
			title: 'all without a block', blocks: [], since: 100, now: 500, expected: 400,
		},
		{
			title: 'not a block within it', blocks: [{ms: 100, at: 300}], since: 100, now: 500, expected: 300,
		},
		{
			title: 'not the part of a block that it began with', blocks: [{ms: 300, at: 300}], since: 100, now: 500, expected: 200,
		},
		{
			title: 'all after a block', blocks: [{ms: 100, at: 100}], since: 100, now: 500, expected: 400,
		},
		{
			title: 'not two blocks', blocks: [{ms: 100, at: 300}, {ms: 50, at: 500}], since: 100, now: 500, expected: 250,
		},
		{
			title: 'nothing of one block', blocks: [{ms: 1000, at: 500}], since: 100, now: 500, expected: 0,
		},
	];
	for (const {title, blocks, since, now, expected} of cases) {
		it(`counts ${title}`, () => {
			const times = new core.util.BlockedTimes();
			for (const {ms, at} of blocks) {
				times.record(ms, at);
			}

			expect(times.computeUnblockedMs(since, now)).to.equal(expected);
		});
	}

	it('forgets blocks that ended over 10 s ago', () => {
		const times = new core.util.BlockedTimes();
		times.record(100, 200);
		times.record(100, 10_201);
		expect(times.computeUnblockedMs(0, 10_201)).to.equal(10_101);
	});
});
