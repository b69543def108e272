import * as chai from 'chai';
import * as support from '../support/fleet.js';
import * as core from '@bluebellmast/core';

const {expect} = chai;

describe('WeightTargets', () => {
	it('counts the time that weights are outdated from the first newer version', () => {
		const targets = new core.rollout.WeightTargets();
		expect(targets.addReported('m', 2, 1000, 5000)).to.equal(true);
		expect(targets.addReported('m', 3, 4000, 5000)).to.equal(true);
		expect(targets.addReported('m', 2, 9000, 9000)).to.equal(false);
		expect([1, 2, 3].map(version => targets.outdatedForMs('m', version, 5000))).to.deep.equal([4000, 1000, 0]);
		expect(targets.outdatedForMs('other', 1, 5000)).to.equal(0);
	});

	// When the clock of the leader's VM is set back, versions seem to have been named long ago.
	it('keeps the time at which this VM saw a version being named, regardless of the clocks of other VMs', () => {
		const targets = new core.rollout.WeightTargets();
		targets.observe('m', 4, support.readAt(6000));
		expect(targets.addReported('m', 4, -24_000, 6000)).to.equal(false);
		expect(targets.observe('m', 4, support.readAt(9000))).to.equal(false);
		expect(targets.outdatedForMs('m', 3, 6500)).to.equal(500);
	});

	// A VM that restarts during a roll-out reads the named version from the store as if it were new.
	it('uses the time of another VM that saw a version earlier', () => {
		const targets = new core.rollout.WeightTargets();
		targets.observe('m', 4, {after: -Infinity, assumed: 6000, before: 6000});
		expect(targets.addReported('m', 4, 500, 6000)).to.equal(false);
		expect(targets.outdatedForMs('m', 3, 6000)).to.equal(5500);
	});

	// The store's history was lost, so that all entries are read again.
	it('still uses that time after it has read the version again', () => {
		const targets = new core.rollout.WeightTargets();
		targets.observe('m', 2, {after: -Infinity, assumed: 6000, before: 6000});
		targets.observe('m', 2, support.readAt(7000));
		targets.addReported('m', 2, 3012, 7100);
		expect(targets.startWithinMs('m', 1, 6000, 8000)).to.equal(1012);
	});

	const lateReads = [
		{name: 'within the interval', reportedAt: 3000, seenAt: 3000},
		{name: 'before it', reportedAt: -40_000, seenAt: 1000},
		{name: 'after the read', reportedAt: 2_400_000, seenAt: 5000},
		{name: 'after the time to assume', reportedAt: 6500, seenAt: 5000},
	];
	for (const {name, reportedAt, seenAt} of lateReads) {
		it(`limits the time that another VM reports for a version read late: ${name}`, () => {
			const targets = new core.rollout.WeightTargets();
			targets.observe('m', 2, {after: 1000, assumed: 5000, before: 7000});
			expect(targets.outdatedForMs('m', 1, 7000)).to.equal(2000);
			targets.addReported('m', 2, reportedAt, 7100);
			expect(targets.outdatedForMs('m', 1, 7000)).to.equal(7000 - seenAt);
		});
	}

	// Guards against starts on replaced weights after the bound: the clock of the leader's VM was ahead when it published the time.
	for (const reportedAt of [3001, 5900, 6000, 8400]) {
		it(`does not make a version that was named before the first read younger than assumed: published as ${reportedAt}`, () => {
			const targets = new core.rollout.WeightTargets();
			targets.observe('m', 2, {after: -Infinity, assumed: 3000, before: 6000});
			targets.addReported('m', 2, reportedAt, 6000);
			expect(targets.startWithinMs('m', 1, 6000, 6000)).to.equal(3000);
		});
	}

	// A VM that restarts reads the newest version only; the leader publishes the earlier one by a clock that is fast.
	it('does not count a version as named later than a newer one', () => {
		const targets = new core.rollout.WeightTargets();
		targets.observe('m', 3, {after: -Infinity, assumed: 6000, before: 6000});
		targets.addReported('m', 2, 8012, 6100);
		targets.addReported('m', 3, 9012, 6100);
		expect(targets.startWithinMs('m', 1, 6000, 9012)).to.equal(2988);
	});

	const unseen = {after: -Infinity, assumed: 3000, before: 6000};
	const late = {after: 1000, assumed: 4000, before: 6000};
	const prompt = {
		after: 4000, assumed: 5300, before: 5300, isPrompt: true,
	};
	const received = [
		{
			name: 'before the first read, later than assumed', interval: unseen, ages: [1500], namedAt: 4500,
		},
		{
			name: 'before the first read, earlier than assumed', interval: unseen, ages: [5000], namedAt: 1000,
		},
		{
			name: 'before the first read, in delayed messages', interval: unseen, ages: [200, 2000, 900], namedAt: 4000,
		},
		{
			name: 'before the first read, but after it by a delayed message', interval: unseen, ages: [-500], namedAt: 6000,
		},
		{
			name: 'while calls failed', interval: late, ages: [2500], namedAt: 3500,
		},
		{
			name: 'while calls failed, earlier than its own reads allow', interval: late, ages: [9000], namedAt: 1000,
		},
		{
			name: 'when it read the store promptly', interval: prompt, ages: [1100], namedAt: 5300,
		},
		{
			name: 'when it read the store promptly, but its event loop was blocked', interval: prompt, ages: [1500], namedAt: 4500,
		},
		{
			name: 'when it read the store promptly, later by a delayed message', interval: prompt, ages: [100], namedAt: 5300,
		},
	];
	for (const {name, interval, ages, namedAt} of received) {
		it(`uses the age that another VM sent of a version that was named ${name}`, () => {
			const targets = new core.rollout.WeightTargets();
			targets.observe('m', 2, interval);
			for (const ageMs of ages) {
				targets.addPeerAge({model: 'm', version: 2, ageMs}, 6000);
			}

			expect(6000 - targets.outdatedForMs('m', 1, 6000)).to.equal(namedAt);
			targets.addReported('m', 2, 2000, 6000);
			targets.addReported('m', 2, 9000, 6000);
			expect(6000 - targets.outdatedForMs('m', 1, 6000)).to.equal(namedAt);
		});
	}

	// Guards against VMs that leave engines early, since the clock of the leader's VM was behind when it published the time.
	it('keeps the time of a prompt read, whatever time is published', () => {
		const targets = new core.rollout.WeightTargets();
		targets.observe('m', 2, prompt);
		targets.addReported('m', 2, 2900, 5400);
		expect(targets.outdatedForMs('m', 1, 6000)).to.equal(700);
	});

	// A VM that starts reads the newest version only; without the others it would count version 1 from version 3.
	it('learns of earlier versions from other VMs, but not of newer ones', () => {
		const targets = new core.rollout.WeightTargets();
		targets.addPeerAge({model: 'm', version: 2, ageMs: 100}, 6000);
		expect(targets.newestVersions()).to.deep.equal(new Map());
		targets.observe('m', 3, unseen);
		for (const [version, ageMs] of [[2, 4000], [3, 2500], [4, 100]] as const) {
			targets.addPeerAge({model: 'm', version, ageMs}, 6000);
		}

		expect(targets.newestVersions()).to.deep.equal(new Map([['m', 3]]));
		expect([1, 2, 3].map(version => targets.outdatedForMs('m', version, 6000))).to.deep.equal([4000, 2500, 0]);
	});

	it('sends other VMs only ages that need no wall clock, and passes on theirs', () => {
		const targets = new core.rollout.WeightTargets();
		targets.observe('m', 2, unseen);
		targets.addReported('m', 2, 1000, 6000);
		expect(targets.listKnownAges(12_000, 7000)).to.deep.equal([]);
		targets.addPeerAge({model: 'm', version: 2, ageMs: 2500}, 6000);
		targets.observe('m', 3, {
			after: 5000, assumed: 6500, before: 6500, isPrompt: true,
		});
		expect(targets.listKnownAges(12_000, 7000)).to.deep.equal([{model: 'm', version: 2, ageMs: 3500}, {model: 'm', version: 3, ageMs: 500}]);
		expect(targets.listKnownAges(3000, 7000)).to.deep.equal([{model: 'm', version: 3, ageMs: 500}]);
	});

	it('lists the estimates that have changed, with their source', () => {
		const targets = new core.rollout.WeightTargets();
		const interval = {after: -Infinity, assumed: 3000, before: 6000};
		targets.observe('m', 2, interval);
		expect(targets.takeChanges()).to.deep.equal([{
			model: 'm', version: 2, at: 3000, source: core.rollout.NamingSource.Assumed, interval,
		}]);
		targets.addReported('m', 2, 500, 6000);
		expect(targets.takeChanges()).to.deep.equal([{
			model: 'm', version: 2, at: 500, source: core.rollout.NamingSource.Plan, interval,
		}]);
		targets.addReported('m', 2, 450, 6100);
		targets.addReported('m', 2, 700, 6200);
		expect(targets.takeChanges()).to.deep.equal([]);
	});
});
