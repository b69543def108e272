import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const seeds = [1, 2, 3, 4, 5];
const streamsPerSeed = 2000;
/** Grace period less the margin for the exit, and from when on streams count as late, in milliseconds after the signal. */
const endsAt = 7700;
const lateAt = 2000;
const medianMs = 500;
const maxMs = 8000;
/** Spread of the durations: a tenth of the streams takes more than six times the median. */
const sigma = 1.4;

/** Number of different values that are drawn. */
const precision = 1_000_000;

type Stream = {readonly arrivesAt: number; readonly durationMs: number; readonly deadlineAt: number};
type Outcome = {sent: number; cut: number; lateSent: number; lateCut: number; refusedInTime: number};

/** Returns a number with the standard normal distribution. */
function drawNormal(draw: () => number): number {
	return Math.sqrt(-2 * Math.log(1 - draw())) * Math.cos(2 * Math.PI * draw());
}

function createStreams(seed: number, deadlineMs: number): Stream[] {
	const random = new core.util.SeededRandom(seed);
	const draw = (): number => random.int(precision) / precision;
	return Array.from({length: streamsPerSeed}, () => {
		const arrivesAt = draw() * endsAt;
		return {
			arrivesAt, durationMs: Math.min(maxMs, deadlineMs, medianMs * Math.exp(sigma * drawNormal(draw))), deadlineAt: arrivesAt + deadlineMs,
		};
	});
}

/** Plays the streams that reach a VM after SIGTERM, which has served as many before. */
function play(seed: number, deadlineMs: number, kind = core.routing.RouteKind.Streaming): Outcome {
	const route = {
		name: 'stream', kind, targetLatencyMs: 600, timeoutMs: maxMs,
	};
	const shutdown = new core.request.GracefulShutdown();
	for (const {durationMs} of createStreams(seed + 100, deadlineMs)) {
		shutdown.recordDuration(route.name, durationMs);
	}

	shutdown.begin(endsAt, lateAt);
	const outcome: Outcome = {
		sent: 0, cut: 0, lateSent: 0, lateCut: 0, refusedInTime: 0,
	};
	for (const {arrivesAt, durationMs, deadlineAt} of createStreams(seed, deadlineMs)) {
		const isLate = arrivesAt > lateAt;
		if (arrivesAt > shutdown.latestSendAt(route, deadlineAt)) {
			outcome.refusedInTime += isLate ? 0 : 1;
			continue;
		}

		const isCut = arrivesAt + durationMs > endsAt;
		outcome.sent += 1;
		outcome.cut += isCut ? 1 : 0;
		outcome.lateSent += isLate ? 1 : 0;
		outcome.lateCut += isLate && isCut ? 1 : 0;
	}

	return outcome;
}

// Guards against streams of very different lengths that are cut since they are sent late in the grace period (report LOST around SIGTERM).
describe('streams of very different lengths that arrive in the grace period', () => {
	for (const seed of seeds) {
		it(`are not cut if they are sent late, seed ${seed}`, () => {
			expect(play(seed, maxMs)).to.include({lateSent: 0, lateCut: 0});
		});

		it(`would be cut by the times of the streams before them alone, seed ${seed}`, () => {
			expect(play(seed, maxMs, core.routing.RouteKind.Safe).lateCut).to.be.greaterThan(0);
		});

		it(`are sent late if their deadline allows it, and not cut then, seed ${seed}`, () => {
			const {lateSent, lateCut} = play(seed, 1500);
			expect(lateCut).to.equal(0);
			expect(lateSent).to.be.greaterThan(streamsPerSeed / 2);
		});

		it(`are sent before that if nine tenths of them have the time, seed ${seed}`, () => {
			const {refusedInTime, sent, cut} = play(seed, maxMs);
			expect(refusedInTime).to.equal(0);
			expect(cut).to.be.at.most(sent / 10);
		});
	}
});
