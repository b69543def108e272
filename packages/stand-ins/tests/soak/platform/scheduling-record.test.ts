import process from 'node:process';
import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

describe('SchedulingRecord', () => {
	it('adds what a process ran since its start or since it was last seen, and skips processes that do not exist', () => {
		const record = new standIns.soak.platform.SchedulingRecord();
		record.sample('missing', -1, 0);
		record.sample('self', process.pid, 0);
		record.sample('missing', -1, 1);
		record.sample('self', process.pid, 1);
		chai.expect(record.entries.map(entry => [entry.process, entry.at])).to.deep.equal([['self', 0], ['self', 1]]);
		chai.expect(record.entries[1]!.ranMs).to.be.at.least(0);
		chai.expect(record.entries[1]!.waitedMs).to.be.at.least(0);
		chai.expect(record.entries[1]!.othersRanMs).to.be.at.least(0);
		chai.expect(record.entries[1]!.othersWaitedMs).to.be.at.least(0);
	});
});
