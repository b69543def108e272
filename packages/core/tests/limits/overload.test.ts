import {expect} from 'chai';
import fc from 'fast-check';
import * as poolModel from './pool-model.js';
import * as core from '@bluebellmast/core';

const capacity = 40;
const peakPerSecond = 400;
const seeds = [1, 2, 3, 4, 5];

function goodputPerSecond(model: poolModel.PoolModel, sources: readonly poolModel.Source[], seconds: number): number {
	let startedInTime = 0;
	for (const count of model.run(sources, seconds * 1000).values()) {
		startedInTime += count.startedInTime;
	}

	return startedInTime / seconds;
}

function sourceWith(changes: Partial<poolModel.Source>): poolModel.Source {
	return {
		name: 'club', account: 'club', share: 1, requestsPerSecond: peakPerSecond, ...changes,
	};
}

describe('admission under overload', () => {
	for (const seed of seeds) {
		it(`keeps goodput within a tenth of its peak at three times the peak load, and recovers (seed ${seed})`, () => {
			const model = new poolModel.PoolModel({
				seed, routers: 3, capacity, usesAdmission: true,
			});
			const peak = Math.max(goodputPerSecond(model, [sourceWith({requestsPerSecond: peakPerSecond})], 10), peakPerSecond * 0.95);
			expect(goodputPerSecond(model, [sourceWith({requestsPerSecond: 3 * peakPerSecond})], 20)).to.be.above(0.9 * peak);
			model.run([sourceWith({requestsPerSecond: 0.7 * peakPerSecond})], 3000);
			const after = model.run([sourceWith({requestsPerSecond: 0.7 * peakPerSecond})], 5000).get('club')!;
			expect(after.startedInTime).to.be.above(0.99 * after.offered);
		});
	}

	it('has less than a fifth of the peak goodput at three times the peak load without admission control', () => {
		const model = new poolModel.PoolModel({
			seed: 1, routers: 3, capacity, usesAdmission: false,
		});
		expect(goodputPerSecond(model, [sourceWith({requestsPerSecond: 3 * peakPerSecond})], 20)).to.be.below(0.2 * peakPerSecond);
	});

	it('protects an account\'s share from accounts that send more requests', () => {
		const arbitrary = fc.record({
			seed: fc.nat(1000), overloadFactor: fc.integer({min: 2, max: 6}), quietShare: fc.constantFrom(1, 2, 4), routers: fc.integer({min: 1, max: 5}), isPinned: fc.boolean(),
		});
		fc.assert(fc.property(arbitrary, ({seed, overloadFactor, quietShare, routers, isPinned}) => {
			const model = new poolModel.PoolModel({
				seed, routers, capacity, usesAdmission: true,
			});
			const quietRate = peakPerSecond * quietShare / (quietShare + 2) * 0.8;
			const sources = [
				sourceWith({
					name: 'loud', account: 'loud', share: 2, requestsPerSecond: peakPerSecond * overloadFactor, ...(isPinned && {router: 0}),
				}),
				sourceWith({
					name: 'quiet', account: 'quiet', share: quietShare, requestsPerSecond: quietRate,
				}),
			];
			model.run(sources, 3000);
			const quiet = model.run(sources, 10_000).get('quiet')!;
			expect(quiet.startedInTime / quiet.offered).to.be.above(0.95);
			expect(model.longestQueue).to.be.at.most(50);
		}), {seed: 4, numRuns: 12});
	}).timeout(60_000);

	it('sheds repeatable requests of a low weight before non-repeatable ones (bookings) of the same account', () => {
		const model = new poolModel.PoolModel({
			seed: 4, routers: 3, capacity, usesAdmission: true,
		});
		const sources = [
			sourceWith({name: 'questions', requestsPerSecond: 3 * peakPerSecond}),
			sourceWith({
				name: 'bookings', requestsPerSecond: 0.2 * peakPerSecond, repeatable: false, weight: 10,
			}),
		];
		model.run(sources, 3000);
		const count = model.run(sources, 10_000).get('bookings')!;
		expect(count.startedInTime / count.offered).to.be.above(0.99);
	});
});

function requestWith(changes: Partial<core.limits.QueuedRequest>): core.limits.QueuedRequest {
	return {
		id: 'r', account: 'club', share: 1, weight: 1, priority: 1, repeatable: true, deadlineAt: 1000, arrivedAt: 0, ...changes,
	};
}

describe('chooseRequestToShed', () => {
	const full = [
		requestWith({id: 'booking', repeatable: false}),
		requestWith({id: 'heavy', weight: 5}),
		requestWith({id: 'early'}),
		requestWith({id: 'late', arrivedAt: 5}),
	];
	const cases: Array<[string, core.limits.QueuedRequest[], string]> = [
		['the latest of the smallest weight', full, 'late'],
		['a heavier repeatable one before a booking', full.slice(0, 2), 'heavy'],
		['a booking when no other request is queued', full.slice(0, 1), 'booking'],
		['a request of the account over its share, not one of smaller weight of an account within its share', [...full.slice(0, 2), requestWith({id: 'quiet', account: 'school', weight: 0})], 'heavy'],
	];
	for (const [title, items, expected] of cases) {
		it(`chooses ${title}`, () => {
			let queue = core.limits.createFairQueue();
			for (const item of items) {
				queue = core.limits.addToQueue(queue, item);
			}

			expect(core.limits.chooseRequestToShed(queue, items.length - 1)?.id).to.equal(expected);
		});
	}
});

describe('nextInQueue', () => {
	it('returns requests of an account by priority, and alternates between accounts in proportion to their shares', () => {
		let queue = core.limits.createFairQueue();
		for (const item of [
			requestWith({id: 'low'}),
			requestWith({id: 'high', priority: 2}),
			requestWith({id: 'school1', account: 'school', share: 2}),
			requestWith({id: 'school2', account: 'school', share: 2}),
			requestWith({id: 'school3', account: 'school', share: 2}),
		]) {
			queue = core.limits.addToQueue(queue, item);
		}

		const order = [];
		for (let item = core.limits.nextInQueue(queue); item !== undefined; item = core.limits.nextInQueue(queue)) {
			order.push(item.id);
			queue = core.limits.countAdmission(core.limits.removeFromQueue(queue, item.id), item.account, item.share);
		}

		expect(order).to.deep.equal(['high', 'school1', 'school2', 'low', 'school3']);
	});
});

describe('pool admission', () => {
	it('refuses a request at once that cannot meet its deadline, with a retry time', () => {
		let admission = core.limits.createPoolAdmission(core.limits.createConcurrencyLimit(1, 1));
		const steps: core.limits.AdmissionEvent[] = [
			{type: core.limits.AdmissionEventType.Arrive, request: requestWith({id: 'r1'})},
			{type: core.limits.AdmissionEventType.End, id: 'r1'},
			{type: core.limits.AdmissionEventType.Arrive, request: requestWith({id: 'r2', deadlineAt: 5000})},
			{type: core.limits.AdmissionEventType.Arrive, request: requestWith({id: 'r3', deadlineAt: 1400})},
		];
		const effects: core.limits.AdmissionEffect[] = [];
		for (const [index, event] of steps.entries()) {
			const step = core.limits.stepAdmission(admission, event, index * 400);
			admission = step.state;
			effects.push(...step.effects);
		}

		expect(effects.map(effect => `${effect.type} ${effect.id}`)).to.deep.equal(['admit r1', 'admit r2', 'refuse r3']);
		expect(effects[2]).to.have.property('retryAfterMs', 100);
	});
});
