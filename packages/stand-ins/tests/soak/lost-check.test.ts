import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const outages = [{target: 'a', from: 10_000, to: 20_000}];

describe('checkLost', () => {
	const cases: ReadonlyArray<{name: string; target: string; sentAt: number; endedAt: number; findings: number}> = [
		{
			name: 'in flight when its router was killed', target: 'a', sentAt: 9000, endedAt: 10_001, findings: 0,
		},
		{
			name: 'sent while its router was down', target: 'a', sentAt: 15_000, endedAt: 15_001, findings: 0,
		},
		{
			name: 'that ended before its router was killed', target: 'a', sentAt: 8000, endedAt: 9000, findings: 1,
		},
		{
			name: 'sent after its router had restarted', target: 'a', sentAt: 21_000, endedAt: 21_001, findings: 1,
		},
		{
			name: 'to another router', target: 'b', sentAt: 15_000, endedAt: 15_001, findings: 1,
		},
	];
	for (const {name, findings, ...times} of cases) {
		it(`returns ${findings} findings for a lost request ${name}`, () => {
			const lost = [{request: 'q', detail: '', ...times}];
			expect(standIns.soak.checkLostCalls(lost, outages)).to.have.length(findings);
		});
	}
});
