import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const maxOutdatedMs = 6000;
const tickMs = 100;
/** Time that a VM needs to tell an engine that a request is taken back, in milliseconds. */
const takeBackMs = 20;
const durationMs = 10_000;
const namedAt = 1000;

/** How a VM decides whether a request may be sent to replaced weights, and whether one that waits is taken back. */
type Rule = {
	readonly canSend: (startWithinMs: number, expectedWaitMs: number) => boolean;
	readonly mustTakeBack: (startWithinMs: number) => boolean;
};

const rule: Rule = {canSend: core.rollout.canStartInTime, mustTakeBack: core.rollout.mustTakeBack};
/** A margin of fixed length, whatever the wait. */
const fixedMargin: Rule = {canSend: startWithinMs => startWithinMs > 1200, mustTakeBack: () => false};

type Vm = {
	readonly targets: core.rollout.WeightTargets;
	/** When the VM reads that a newer version was named. */
	readonly readsAt: number;
	hasRead: boolean;
};

type Outcome = {
	/** Requests that began on replaced weights after the limit, and by how much the worst of them, in milliseconds. */
	late: number;
	worstMs: number;
	takenBack: number;
};

/** A roll-out that is stuck: the engines keep their weights while their queues grow, and VMs read the newer version at various times. */
function simulate(rule: Rule, vmCount: number, seed: number): Outcome {
	const random = new core.util.SeededRandom(seed);
	const vms: Vm[] = Array.from({length: vmCount}, () => ({targets: new core.rollout.WeightTargets(), readsAt: namedAt + random.int(400), hasRead: false}));
	const outcome: Outcome = {
		late: 0, worstMs: 0, takenBack: 0,
	};
	const waiting: Array<{readonly vm: Vm; readonly startsAt: number}> = [];
	for (let now = 0; now < durationMs; now += tickMs) {
		for (const vm of vms) {
			if (!vm.hasRead && now >= vm.readsAt) {
				vm.hasRead = true;
				vm.targets.observe('m', 2, {after: now - 1000, assumed: vm.readsAt, before: now});
			}

			const expectedWaitMs = 20 + random.int(300);
			if (rule.canSend(vm.targets.startWithinMs('m', 1, maxOutdatedMs, now), expectedWaitMs)) {
				// Requests of other VMs and engines that slow down make the wait up to five times as long.
				waiting.push({vm, startsAt: now + (expectedWaitMs * (1 + random.int(5)))});
			}
		}

		for (let index = waiting.length - 1; index >= 0; index--) {
			const {vm, startsAt} = waiting[index]!;
			const isTakenBack = rule.mustTakeBack(vm.targets.startWithinMs('m', 1, maxOutdatedMs, now));
			if (startsAt <= now + (isTakenBack ? takeBackMs : tickMs)) {
				const lateMs = startsAt - namedAt - maxOutdatedMs;
				outcome.late += lateMs > 0 ? 1 : 0;
				outcome.worstMs = Math.max(outcome.worstMs, lateMs);
				waiting.splice(index, 1);
			} else if (isTakenBack) {
				outcome.takenBack += 1;
				waiting.splice(index, 1);
			}
		}
	}

	return outcome;
}

// Guards against starts on replaced weights after their limit, when requests wait in the engines longer than was left as they were sent.
describe('queues longer than the margin before a limit', () => {
	for (const vmCount of [7, 195]) {
		for (const seed of [1, 2, 3]) {
			it(`let no request of ${vmCount} VMs start late, with seed ${seed}`, () => {
				const outcome = simulate(rule, vmCount, seed);
				expect(outcome.late).to.equal(0);
				expect(outcome.takenBack).to.be.greaterThan(0);
			});
		}
	}

	it('let requests start late with a margin of fixed length', () => {
		const outcome = simulate(fixedMargin, 195, 1);
		expect(outcome.late).to.be.greaterThan(0);
		expect(outcome.worstMs).to.be.greaterThan(0);
	});
});
