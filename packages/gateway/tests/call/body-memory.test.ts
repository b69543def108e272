import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as bodyMemory from '../../src/call/body-memory.js';

const {expect} = chai;
const maxBytes = 1_000_000;

type Body = {readonly reservation: bodyMemory.BodyReservation; isEvicted: boolean};

function open(memory: bodyMemory.BodyMemory, now: number, account = 'club'): Body {
	const body: Body = {
		isEvicted: false,
		reservation: memory.open({
			account, now, onEvicted() {
				body.isEvicted = true;
			},
		}),
	};
	return body;
}

describe('BodyMemory', () => {
	it('is taken from bodies that have stopped, the one without progress for the longest time first', () => {
		const memory = new bodyMemory.BodyMemory(maxBytes);
		const stalled = [0, 100, 200].map(now => {
			const body = open(memory, now);
			expect(body.reservation.grow(300_000, now)).to.equal(true);
			return body;
		});
		const late = open(memory, 2000);
		expect(late.reservation.grow(350_000, 2000)).to.equal(true);
		expect(stalled.map(({isEvicted}) => isEvicted)).to.deep.equal([true, false, false]);
		expect(memory.usedBytes).to.equal(950_000);
	});

	it('is not taken from bodies that are complete, nor by one that is itself the slowest', () => {
		const memory = new bodyMemory.BodyMemory(maxBytes);
		const complete = open(memory, 0);
		expect(complete.reservation.grow(600_000, 0)).to.equal(true);
		complete.reservation.complete();
		const slow = open(memory, 0);
		expect(slow.reservation.grow(100_000, 0)).to.equal(true);
		const fast = open(memory, 0);
		expect(fast.reservation.grow(250_000, 3000)).to.equal(true);
		expect(slow.reservation.grow(100_000, 3100)).to.equal(false);
		expect([complete.isEvicted, fast.isEvicted]).to.deep.equal([false, false]);
		expect([memory.fits(300_000), memory.fits(500_000)]).to.deep.equal([true, false]);
	});

	it('is taken from an account that uses much more than another one, also if its bodies are as new', () => {
		const memory = new bodyMemory.BodyMemory(maxBytes);
		const large = [1, 2, 3].map(() => {
			const body = open(memory, 0, 'large');
			expect(body.reservation.grow(320_000, 0)).to.equal(true);
			return body;
		});
		const other = open(memory, 0, 'other');
		expect(other.reservation.grow(100_000, 0)).to.equal(true);
		expect(large.filter(({isEvicted}) => isEvicted)).to.have.lengthOf(1);
		const same = open(memory, 0, 'large');
		expect(same.reservation.grow(320_000, 0)).to.equal(false);
	});

	it('is never exceeded by more than one body, and is free in the end', () => {
		const step = fastCheck.record({
			index: fastCheck.nat(9), bytes: fastCheck.integer({min: 1, max: 400_000}), ms: fastCheck.nat(400), isEnd: fastCheck.boolean(),
		});
		fastCheck.assert(fastCheck.property(fastCheck.array(step, {maxLength: 60}), steps => {
			const memory = new bodyMemory.BodyMemory(maxBytes);
			const bodies: Body[] = [];
			let now = 0;
			for (const {index, bytes, ms, isEnd} of steps) {
				now += ms;
				bodies[index] ??= open(memory, now, `account-${index % 3}`);
				const {reservation, isEvicted} = bodies[index];
				if (isEnd || isEvicted) {
					reservation.release();
				} else if (!reservation.grow(bytes, now)) {
					reservation.release();
				}

				const held = bodies.reduce((sum, body) => sum + body.reservation.bytes, 0);
				expect(memory.usedBytes).to.equal(held);
				expect(held).to.be.at.most(2 * maxBytes);
			}

			for (const body of bodies) {
				body?.reservation.release();
			}

			expect(memory.usedBytes).to.equal(0);
		}), {seed: 75});
	});
});
