import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@bluebellmast/core';
import * as standIns from '@bluebellmast/stand-ins';

const limitMs = 60_000;

function startFleet(count: number, seed: number, options: Partial<core.members.MembershipOptions> = {}) {
	const fleet = new standIns.memberFleet.MemberFleet(seed, options);
	const names = Array.from({length: count}, (_, i) => `vm-${String(i).padStart(2, '0')}`);
	for (const name of names) {
		fleet.add(name, names.slice(0, 2));
	}

	chai.expect(fleet.runUntil(() => fleet.agreed(), limitMs)).to.be.a('number');
	return {fleet, names};
}

describe('membership of a fleet', () => {
	for (const count of [1, 2, 7, 30]) {
		it(`agrees with ${count} members, notices a death and takes a restart as a new incarnation`, () => {
			const {fleet, names} = startFleet(count, 3);
			if (count === 1) {
				return;
			}

			const victim = names.at(-1)!;
			fleet.kill(victim);
			chai.expect(fleet.runUntil(() => fleet.agreed(), limitMs)).to.be.a('number');
			for (const node of fleet.running()) {
				chai.expect(node.membership.hasEnded(victim, `${victim}-1`, fleet.now)).to.equal(true);
			}

			fleet.restart(victim, names.slice(0, 2));
			chai.expect(fleet.runUntil(() => fleet.agreed(), limitMs)).to.be.a('number');
			for (const node of fleet.running()) {
				chai.expect(node.membership.hasEnded(victim, `${victim}-1`, fleet.now)).to.equal(true);
				chai.expect(node.membership.hasEnded(victim, `${victim}-2`, fleet.now)).to.equal(false);
			}
		});
	}

	it('keeps a member that one other cannot reach, by probes through others', () => {
		const {fleet} = startFleet(7, 4);
		fleet.passes = (from, to) => !(from === 'vm-03' && to === 'vm-05') && !(from === 'vm-05' && to === 'vm-03');
		let suspected = false;
		for (let i = 0; i < 300; i++) {
			fleet.run(100);
			suspected ||= fleet.running().some(node => node.membership.present().some(record => record.status !== core.members.MemberStatus.Alive));
		}

		chai.expect(suspected).to.equal(false);
		chai.expect(fleet.agreed()).to.equal(true);
	});

	it('lets a member that was cut off for less than the suspicion refute it', () => {
		const {fleet} = startFleet(7, 5);
		fleet.passes = (from, to) => from !== 'vm-04' && to !== 'vm-04';
		const isSuspected = (): boolean => fleet.running().some(node => node.membership.get('vm-04')?.status === core.members.MemberStatus.Suspect);
		chai.expect(fleet.runUntil(isSuspected, limitMs)).to.be.a('number');
		fleet.passes = () => true;
		let judged = false;
		for (let i = 0; i < 100; i++) {
			fleet.run(100);
			judged ||= fleet.running().some(node => node.membership.get('vm-04')?.status === core.members.MemberStatus.Dead);
		}

		chai.expect(judged).to.equal(false);
		chai.expect(fleet.agreed()).to.equal(true);
	});

	it('joins the halves of a split fleet again', () => {
		const {fleet, names} = startFleet(20, 6);
		const half = new Set(names.slice(0, 10));
		fleet.passes = (from, to) => half.has(from) === half.has(to);
		const isSplit = (): boolean => fleet.running().every(node => node.membership.present().length === 10);
		chai.expect(fleet.runUntil(isSplit, limitMs)).to.be.a('number');
		fleet.passes = () => true;
		fleet.relink('vm-00', 'vm-19');
		chai.expect(fleet.runUntil(() => fleet.agreed(), limitMs)).to.be.a('number');
	});

	it('agrees after any kills and restarts', () => {
		const plan = fc.array(fc.tuple(fc.integer({min: 2, max: 8}), fc.integer({min: 0, max: 4000})), {maxLength: 12});
		fc.assert(fc.property(plan, fc.integer({min: 1, max: 1000}), (changes, seed) => {
			const {fleet, names} = startFleet(9, seed);
			for (const [index, waitMs] of changes) {
				const vm = names[index]!;
				if (fleet.nodes.get(vm)!.running) {
					fleet.kill(vm);
				} else {
					fleet.restart(vm, names.slice(0, 2));
				}

				fleet.run(waitMs);
			}

			chai.expect(fleet.runUntil(() => fleet.agreed(), limitMs)).to.be.a('number');
		}), {seed: 7, numRuns: 15});
	});
});
