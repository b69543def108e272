import * as chai from 'chai';
import * as fleet from '../support/fleet.js';
import * as rollingRelease from '../support/rolling-release.js';

const {expect} = chai;
const {NoticeUse: noticeUses} = rollingRelease;

/** Endpoints leave one after the other and serve for longer than the drain time; each restarts under its id. */
const rollingOptions: rollingRelease.ReleaseOptions = {
	vmCount: 7, use: noticeUses.Reported, seed: 20_261_204, endpointCount: 20, leaveIntervalMs: 1000, requestRate: 900, drainMs: 2500, serveMs: 6000, restartMs: 500,
};

/** All endpoints leave at the same time; others are listed before they stop. */
const simultaneousOptions: Partial<rollingRelease.ReleaseOptions> = {leaveIntervalMs: 0, serveMs: 2500, restartMs: -500};

function simulate(changes: Partial<rollingRelease.ReleaseOptions>): rollingRelease.ReleaseResult {
	return rollingRelease.simulateRelease({...rollingOptions, ...changes}, fleet.createEntry);
}

describe('a release of a pool whose endpoints announce only in their responses that they are leaving', () => {
	for (const vmCount of [7, 195]) {
		it(`sends no request later than the drain time after a notice, and refuses none, with ${vmCount} VMs`, () => {
			expect(simulate({vmCount, use: noticeUses.None}).late).to.be.greaterThan(0);
			for (const use of [noticeUses.Own, noticeUses.Reported]) {
				expect(simulate({vmCount, use})).to.include({late: 0, refused: 0});
			}
		});

		it(`sends fewer requests to leaving endpoints if ${vmCount} VMs report their notices to each other`, () => {
			expect(simulate({vmCount}).atLeaving).to.be.lessThan(simulate({vmCount, use: noticeUses.Own}).atLeaving);
		});

		it(`refuses no request while the endpoints still serve if all are leaving, with ${vmCount} VMs`, () => {
			expect(simulate({...simultaneousOptions, vmCount})).to.include({late: 0, refused: 0});
		});
	}

	it('would refuse requests if endpoints got none from the first notice on', () => {
		expect(simulate({...simultaneousOptions, drainMs: 0}).refused).to.be.greaterThan(0);
	});
});
