import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as responsePacer from '../../src/endpoints/response-pacer.js';
import * as stepScheduler from '../../src/util/step-scheduler.js';

const {expect} = chai;

/** Records what a pacer does. */
class Recorder {
	readonly parts: Uint8Array[] = [];
	pauses = 0;
	resumes = 0;
	canContinue = true;
	readonly pacer = new responsePacer.ResponsePacer({
		scheduler: new stepScheduler.StepScheduler(() => 0),
		onData: bytes => {
			this.parts.push(bytes);
			return this.canContinue;
		},
		pause: () => {
			this.pauses += 1;
		},
		resume: () => {
			this.resumes += 1;
		},
	});

	get text(): string {
		return Buffer.concat(this.parts).toString();
	}
}

describe('ResponsePacer', () => {
	it('passes a few pieces on at once', () => {
		const recorder = new Recorder();
		for (const letter of 'ab') {
			recorder.pacer.push(Buffer.from(letter));
		}

		expect(recorder.text).to.equal('ab');
		expect(recorder.pauses).to.equal(0);
	});

	it('joins further small pieces that arrive at the same time, and passes them on in the same turn', async () => {
		const recorder = new Recorder();
		for (const letter of 'abcdefghijklmnopqrstuvwxyz') {
			recorder.pacer.push(Buffer.from(letter));
		}

		await Promise.resolve();
		expect(recorder.parts.map(part => Buffer.from(part).toString())).to.deep.equal([...'abcdefghijklmnop', 'qrstuvwxyz']);
	});

	it('pauses after many pieces, and goes on in a later turn', async () => {
		const recorder = new Recorder();
		for (let count = 0; count < 1000; count++) {
			recorder.pacer.push(Buffer.from('x'));
		}

		await Promise.resolve();
		expect([recorder.pauses, recorder.resumes, recorder.text.length]).to.deep.equal([1, 0, 1000]);
		await sleep(10);
		expect(recorder.resumes).to.equal(1);
	});

	it('goes on only once the caller accepts data again', async () => {
		const recorder = new Recorder();
		recorder.canContinue = false;
		for (let count = 0; count < 1000; count++) {
			recorder.pacer.push(Buffer.from('x'));
		}

		await sleep(10);
		expect(recorder.resumes).to.equal(0);
		recorder.pacer.resume();
		expect(recorder.resumes).to.equal(1);
	});

	it('passes on all bytes in their order', async () => {
		await fastCheck.assert(fastCheck.asyncProperty(fastCheck.array(fastCheck.array(fastCheck.string({maxLength: 2000}), {maxLength: 30}), {maxLength: 10}), async batches => {
			const recorder = new Recorder();
			for (const batch of batches) {
				for (const piece of batch) {
					recorder.pacer.push(Buffer.from(piece));
				}

				await Promise.resolve(); // eslint-disable-line no-await-in-loop -- Batches follow one another.
			}

			recorder.pacer.flush();
			expect(recorder.text).to.equal(batches.flat().join(''));
		}), {seed: 75, numRuns: 50});
	});
});
