import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const seeds = [1, 2, 3];
const maxBytes = 26_214_400;
const largeBytes = 4_194_304;
const smallBytes = 17_000;
const durationMs = 20_000;
const workMs = 1200;
/** Large bodies that arrive in a burst each second, and small ones that arrive all the while. */
const largePerBurst = 48;
const smallPerStep = 2;
const stepMs = 10;

type Counts = {largeServed: number; largeRefused: number; smallServed: number; smallRefused: number; mostBytes: number; usedAtEnd: number};

/** Plays bodies of two sizes in virtual time, each of which is kept until its request has ended. */
function play(memory: gateway.call.BodyMemory, seed: number): Counts {
	const random = new core.util.SeededRandom(seed);
	const ends: Array<{readonly at: number; readonly reservation: gateway.call.BodyReservation}> = [];
	const counts: Counts = {
		largeServed: 0, largeRefused: 0, smallServed: 0, smallRefused: 0, mostBytes: 0, usedAtEnd: 0,
	};
	let used = 0;
	const release = (now: number): void => {
		for (const end of ends.filter(({at}) => at <= now)) {
			ends.splice(ends.indexOf(end), 1);
			used -= end.reservation.bytes;
			end.reservation.release();
		}
	};

	const send = (now: number, bytes: number): boolean => {
		const reservation = memory.open({account: 'club', now, onEvicted: () => undefined});
		if (!reservation.grow(bytes, now)) {
			return false;
		}

		reservation.complete();
		used += bytes;
		counts.mostBytes = Math.max(counts.mostBytes, used);
		ends.push({at: now + (workMs / 2) + random.int(workMs), reservation});
		return true;
	};

	for (let now = 0; now < durationMs; now += stepMs) {
		release(now);
		const largeCount = now % 1000 === 0 ? largePerBurst : 0;
		for (let count = 0; count < largeCount; count++) {
			counts[send(now, largeBytes) ? 'largeServed' : 'largeRefused'] += 1;
		}

		for (let count = 0; count < smallPerStep; count++) {
			counts[send(now, smallBytes) ? 'smallServed' : 'smallRefused'] += 1;
		}
	}

	release(Infinity);
	counts.usedAtEnd = used;
	return counts;
}

// Guards against a process that exceeds its memory by the sum of bodies, and against small bodies that are refused for large ones.
describe('large bodies in bursts beside small ones', () => {
	for (const seed of seeds) {
		it(`take no more memory than all bodies may together, seed ${seed}`, () => {
			const {mostBytes, largeServed, largeRefused, usedAtEnd} = play(new gateway.call.BodyMemory(maxBytes), seed);
			expect(mostBytes).to.be.at.most(2 * maxBytes);
			expect(largeServed).to.be.greaterThan(durationMs / 1000);
			expect(largeRefused).to.be.greaterThan(0);
			expect(usedAtEnd).to.equal(0);
		});

		it(`do not prevent small ones, seed ${seed}`, () => {
			expect(play(new gateway.call.BodyMemory(maxBytes), seed).smallRefused).to.equal(0);
		});

		it(`would take far more without a bound, seed ${seed}`, () => {
			expect(play(new gateway.call.BodyMemory(), seed).mostBytes).to.be.greaterThan(6 * maxBytes);
		});
	}
});
