import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@bluebellmast/core';
import * as standIns from '@bluebellmast/stand-ins';

const limitMs = 60_000;

function startFleet(count: number, seed: number, options: Partial<core.members.MembershipOptions> = {}) {
	const fleet = new standIns.membershipSimulation.MembershipSimulation(seed, options);
	const names = Array.from({length: count}, (_, i) => `vm-${String(i).padStart(2, '0')}`);
	for (const name of names) {
		fleet.add(name, names.slice(0, 2));
	}

	chai.expect(fleet.runUntil(() => fleet.isConverged(), limitMs)).to.be.a('number');
	return {fleet, names};
}

describe('membership of a simulated fleet', () => {
	for (const count of [1, 2, 7, 30]) {
		it(`converges with ${count} members, after one is killed and after it restarts as a new incarnation`, () => {
			const {fleet, names} = startFleet(count, 3);
			if (count === 1) {
				return;
			}

			const victim = names.at(-1)!;
			fleet.kill(victim);
			chai.expect(fleet.runUntil(() => fleet.isConverged(), limitMs)).to.be.a('number');
			for (const router of fleet.listRunning()) {
				chai.expect(router.membership.hasEnded(victim, `${victim}-1`, fleet.now)).to.equal(true);
			}

			fleet.restart(victim, names.slice(0, 2));
			chai.expect(fleet.runUntil(() => fleet.isConverged(), limitMs)).to.be.a('number');
			for (const router of fleet.listRunning()) {
				chai.expect(router.membership.hasEnded(victim, `${victim}-1`, fleet.now)).to.equal(true);
				chai.expect(router.membership.hasEnded(victim, `${victim}-2`, fleet.now)).to.equal(false);
			}
		});
	}

	it('does not suspect a member that one other member cannot reach, since indirect probes succeed', () => {
		const {fleet} = startFleet(7, 4);
		fleet.isDelivered = (from, to) => !(from === 'vm-03' && to === 'vm-05') && !(from === 'vm-05' && to === 'vm-03');
		let wasSuspected = false;
		for (let i = 0; i < 300; i++) {
			fleet.run(100);
			wasSuspected ||= fleet.listRunning().some(router => router.membership.present().some(record => record.status !== core.members.MemberStatus.Alive));
		}

		chai.expect(wasSuspected).to.equal(false);
		chai.expect(fleet.isConverged()).to.equal(true);
	});

	it('lets a member refute a suspicion when it was disconnected for less than the suspicion timeout', () => {
		const {fleet} = startFleet(7, 5);
		fleet.isDelivered = (from, to) => from !== 'vm-04' && to !== 'vm-04';
		const isSuspected = (): boolean => fleet.listRunning().some(router => router.membership.get('vm-04')?.status === core.members.MemberStatus.Suspect);
		chai.expect(fleet.runUntil(isSuspected, limitMs)).to.be.a('number');
		fleet.isDelivered = () => true;
		let wasDeclaredDead = false;
		for (let i = 0; i < 100; i++) {
			fleet.run(100);
			wasDeclaredDead ||= fleet.listRunning().some(router => router.membership.get('vm-04')?.status === core.members.MemberStatus.Dead);
		}

		chai.expect(wasDeclaredDead).to.equal(false);
		chai.expect(fleet.isConverged()).to.equal(true);
	});

	it('converges after a network partition heals', () => {
		const {fleet, names} = startFleet(20, 6);
		const half = new Set(names.slice(0, 10));
		fleet.isDelivered = (from, to) => half.has(from) === half.has(to);
		const isSplit = (): boolean => fleet.listRunning().every(router => router.membership.present().length === 10);
		chai.expect(fleet.runUntil(isSplit, limitMs)).to.be.a('number');
		fleet.isDelivered = () => true;
		fleet.relink('vm-00', 'vm-19');
		chai.expect(fleet.runUntil(() => fleet.isConverged(), limitMs)).to.be.a('number');
	});

	it('converges after random kills and restarts', () => {
		const plan = fc.array(fc.tuple(fc.integer({min: 2, max: 8}), fc.integer({min: 0, max: 4000})), {maxLength: 12});
		fc.assert(fc.property(plan, fc.integer({min: 1, max: 1000}), (changes, seed) => {
			const {fleet, names} = startFleet(9, seed);
			for (const [index, waitMs] of changes) {
				const vm = names[index]!;
				if (fleet.routers.get(vm)!.isRunning) {
					fleet.kill(vm);
				} else {
					fleet.restart(vm, names.slice(0, 2));
				}

				fleet.run(waitMs);
			}

			chai.expect(fleet.runUntil(() => fleet.isConverged(), limitMs)).to.be.a('number');
		}), {seed: 7, numRuns: 15});
	});
});
