import * as chai from 'chai';
import * as fc from 'fast-check';
import * as core from '@bluebellmast/core';

const {orders} = core;
const leaseOptions = {ttlMs: 6000, marginMs: 2000, maxOrderDurationMs: 1000};

describe('LeaderLease', () => {
	it('sends orders only after those of the previous holder and before the margin, and expires during a pause', () => {
		const lease = new orders.LeaderLease(leaseOptions);
		lease.beginAcquiring(0);
		lease.recordGrant(7, 0, 100);
		chai.expect(lease.fencing(1099)).to.equal(undefined);
		chai.expect(lease.fencing(1100)).to.equal(7);
		chai.expect(lease.fencing(3999)).to.equal(7);
		chai.expect(lease.fencing(4000)).to.equal(undefined);
		lease.recordRenewal(4000, 4100);
		chai.expect(lease.fencing(4100)).to.equal(7);
		chai.expect(lease.phase(60_000)).to.equal(orders.LeasePhase.Follower);
		lease.recordRenewal(4200, 60_001);
		chai.expect(lease.fencing(60_001)).to.equal(undefined);
	});

	it('never lets two routers send orders within the maximum order duration of each other', () => {
		const action = fc.record({
			router: fc.integer({min: 0, max: 1}),
			waitMs: fc.integer({min: 0, max: 3000}),
			answerMs: fc.integer({min: 0, max: 1500}),
			lost: fc.boolean(),
		});
		fc.assert(fc.property(fc.array(action, {maxLength: 60}), actions => {
			const leases = [new orders.LeaderLease(leaseOptions), new orders.LeaderLease(leaseOptions)];
			let holder: {router: number; fencing: number; endsAt: number} | undefined;
			let lastOrder = {router: -1, at: 0};
			let now = 0;
			let revision = 0;
			for (const {router, waitMs, answerMs, lost} of actions) {
				now += waitMs;
				const lease = leases[router]!;
				const sentAt = now;
				const phase = lease.phase(now);
				const isFree = holder === undefined || holder.endsAt <= now;
				if (phase === orders.LeasePhase.Follower && isFree && !lost) {
					revision += 1;
					lease.beginAcquiring(now);
					holder = {router, fencing: revision, endsAt: now + leaseOptions.ttlMs};
					now += answerMs;
					lease.recordGrant(revision, sentAt, now);
				} else if (phase !== orders.LeasePhase.Follower && holder?.router === router && !isFree) {
					holder.endsAt = now + leaseOptions.ttlMs;
					now += answerMs;
					if (!lost) {
						lease.recordRenewal(sentAt, now);
					}
				}

				for (const [index, each] of leases.entries()) {
					if (each.fencing(now) === undefined) {
						continue;
					}

					chai.expect(each.fencing(now)).to.equal(revision);
					chai.expect(lastOrder.router === index || lastOrder.router === -1 || now - lastOrder.at >= leaseOptions.maxOrderDurationMs).to.equal(true);
					lastOrder = {router: index, at: now};
				}
			}
		}), {seed: 31, numRuns: 500});
	});
});
