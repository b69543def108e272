import * as chai from 'chai';
import * as standIns from '@bluebellmast/stand-ins';

const {expect} = chai;
const options = {
	durationMs: 120_000, routers: 6, engines: 4, runners: 3,
};

/** Lists the components that a fault acts on, by the name of its type. */
function listComponents(scheduledFault: standIns.soak.ScheduledFault): string[] {
	const {type, targetIndex} = scheduledFault;
	if (type === standIns.soak.ScheduledFaultType.KillHalfOfRouters) {
		return Array.from({length: options.routers / 2}, (_, index) => `router ${(targetIndex + index) % options.routers}`);
	}

	if (type.includes('kv')) {
		return ['kv'];
	}

	const kind = ['router', 'runner'].find(name => type.includes(name)) ?? 'engine';
	return [`${kind} ${targetIndex}`];
}

describe('createSchedule', () => {
	it('creates the same schedule for the same seed and a different one for another seed', () => {
		const schedules = [1, 1, 2].map(seed => standIns.soak.createFaultSchedule({...options, seed}));
		expect(schedules[0]).to.deep.equal(schedules[1]);
		expect(schedules[0]).not.to.deep.equal(schedules[2]);
	});

	for (let seed = 1; seed <= 20; seed++) {
		it(`keeps faults within the run and does not overlap them on any component, with seed ${seed}`, () => {
			const schedule = standIns.soak.createFaultSchedule({...options, seed});
			const busyUntil = new Map<string, number>();
			expect(schedule.length).to.be.above(10);
			for (const scheduledFault of schedule) {
				expect(scheduledFault.atMs + scheduledFault.durationMs).to.be.below(options.durationMs);
				for (const component of listComponents(scheduledFault)) {
					expect(busyUntil.get(component) ?? 0, component).to.be.below(scheduledFault.atMs);
					busyUntil.set(component, scheduledFault.atMs + scheduledFault.durationMs);
				}
			}
		});
	}
});
