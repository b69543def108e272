import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const {platform} = standIns.soak;
const durationMs = 120_000;
const quietEndMs = 20_000;

describe('createPlatformPlan', () => {
	it('creates the same plan for the same seed and a different one for another seed', () => {
		const plans = [1, 1, 2].map(seed => platform.createPlatformPlan(seed, durationMs));
		expect(plans[0]).to.deep.equal(plans[1]);
		expect(plans[0]).not.to.deep.equal(plans[2]);
	});

	it('plays every type of action within 60 seeds, and leaves the end of each run quiet', () => {
		const types = new Set<string>();
		for (let seed = 1; seed <= 60; seed++) {
			const {actions, sizes} = platform.createPlatformPlan(seed, durationMs);
			expect(actions.length, `seed ${seed}`).to.be.above(8);
			for (const action of actions) {
				types.add(action.type);
				expect(action.atMs + platform.estimateMs(action, sizes), `seed ${seed}`).to.be.at.most(durationMs - quietEndMs);
			}
		}

		expect([...types].sort()).to.deep.equal(Object.values(platform.ActionType).sort());
	});

	it('starts 3 to 12 gateways and 4 to 40 servers', () => {
		for (let seed = 1; seed <= 200; seed++) {
			const {gateways, engines, runners} = platform.createPlatformPlan(seed, durationMs).sizes;
			expect(gateways).to.be.within(3, 12);
			expect((2 * engines) + runners).to.be.within(4, 40);
		}
	});
});
