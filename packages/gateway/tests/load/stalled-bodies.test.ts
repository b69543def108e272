import * as core from '@bluebellmast/core';
import * as chai from 'chai';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const seeds = [1, 2, 3];
const maxBytes = 26_214_400;
const stalledBytes = 1_048_575;
const ordinaryBytes = 100_000;
const pieceBytes = 20_000;
const stepMs = 10;
const durationMs = 20_000;
const workMs = 300;
/** New bodies that stop just short of their end, in each second. */
const stalledPerSecond = 40;
const ordinaryPerSecond = 10;

type Body = {readonly reservation: gateway.call.BodyReservation; missingBytes: number; isEvicted: boolean; endsAt: number};

/** Plays bodies that stop short and stay, and ordinary ones that arrive in pieces, in virtual time. @returns How many ordinary ones were served and refused. */
function play(seed: number): {served: number; refused: number; mostBytes: number} {
	const random = new core.util.SeededRandom(seed);
	const memory = new gateway.call.BodyMemory(maxBytes);
	const arriving = new Set<Body>();
	const counts = {served: 0, refused: 0, mostBytes: 0};
	const open = (now: number, missingBytes: number): Body => {
		const body: Body = {
			missingBytes,
			isEvicted: false,
			endsAt: Infinity,
			reservation: memory.open({
				account: 'club', now, onEvicted() {
					body.isEvicted = true;
				},
			}),
		};
		return body;
	};

	for (let now = 0; now < durationMs; now += stepMs) {
		if (random.int(1000) < stalledPerSecond * stepMs) {
			const stalled = open(now, 1);
			stalled.reservation.grow(stalledBytes, now);
		}

		if (random.int(1000) < ordinaryPerSecond * stepMs) {
			arriving.add(open(now, ordinaryBytes));
		}

		for (const body of arriving) {
			if (body.missingBytes > 0) {
				if (body.isEvicted || !body.reservation.grow(pieceBytes, now)) {
					counts.refused += 1;
					body.reservation.release();
					arriving.delete(body);
					continue;
				}

				body.missingBytes -= pieceBytes;
				if (body.missingBytes === 0) {
					body.reservation.complete();
					body.endsAt = now + workMs;
				}
			} else if (body.endsAt <= now) {
				counts.served += 1;
				body.reservation.release();
				arriving.delete(body);
			}
		}

		counts.mostBytes = Math.max(counts.mostBytes, memory.usedBytes);
	}

	return counts;
}

// Guards against callers that are refused for as long as others keep bodies open that have stopped arriving.
describe('bodies that stop short of their end beside ordinary ones', () => {
	for (const seed of seeds) {
		it(`do not prevent these, and take no more memory than all bodies may, seed ${seed}`, () => {
			const {served, refused, mostBytes} = play(seed);
			expect(served).to.be.above(100);
			expect(refused).to.equal(0);
			expect(mostBytes).to.be.at.most(2 * maxBytes);
		});
	}
});
