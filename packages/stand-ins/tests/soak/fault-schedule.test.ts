import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const options = {
	durationMs: 120_000, routers: 6, engines: 4, runners: 3,
};

describe('createSchedule', () => {
	it('creates the same schedule for the same seed and a different one for another seed', () => {
		const schedules = [1, 1, 2].map(seed => standIns.soak.createFaultSchedule({...options, seed}));
		expect(schedules[0]).to.deep.equal(schedules[1]);
		expect(schedules[0]).not.to.deep.equal(schedules[2]);
	});

	for (let seed = 1; seed <= 20; seed++) {
		it(`keeps faults within the run and does not overlap them on a router, with seed ${seed}`, () => {
			const schedule = standIns.soak.createFaultSchedule({...options, seed});
			const routersBusyUntil = new Map<number, number>();
			expect(schedule.length).to.be.above(10);
			for (const scheduledFault of schedule) {
				expect(scheduledFault.atMs + scheduledFault.durationMs).to.be.below(options.durationMs);
				const routers = scheduledFault.type.endsWith('router') || scheduledFault.type === standIns.soak.ScheduledFaultType.KillHalfOfRouters
					? standIns.soak.listRouterIndices(scheduledFault, options.routers)
					: [];
				for (const router of routers) {
					expect(routersBusyUntil.get(router) ?? 0).to.be.below(scheduledFault.atMs);
					routersBusyUntil.set(router, scheduledFault.atMs + scheduledFault.durationMs);
				}
			}
		});
	}
});
