import * as chai from 'chai';
import * as core from '@bluebellmast/core';

const {expect} = chai;
const seeds = [1, 2, 3];
const responseCount = 2000;
const readBytes = 65_536;
const maxHeadBytes = 16_384;
const maxInterimResponses = 16;
const maxBodyBytes = 4_194_304;
/** Bytes of a chunk's size with its line ends, and of the last chunk. */
const chunkOverheadBytes = 12;
/** Most that is read of an endless response: what may arrive in addition to the body, and the read that exceeds it. */
const maxEndlessBytes = 400_000;

/** Reads a response in parts of the given size, as far as it is not taken for an endless one. @returns The bytes that were read. */
function read(totalBytes: number, countBody: (bytes: number) => number): {readonly bytes: number; readonly isEndless: boolean} {
	for (let bytes = readBytes; bytes < totalBytes; bytes += readBytes) {
		// The body of the last part has not been delivered when the bytes are counted.
		if (core.request.isEndlessResponse(bytes, countBody(bytes - readBytes))) {
			return {bytes, isEndless: true};
		}
	}

	return {bytes: totalBytes, isEndless: false};
}

// Guards against responses without an end that hold requests until their deadlines, and against sound responses that are taken for such ones.
describe('responses that are read while others are', () => {
	for (const seed of seeds) {
		it(`are not taken for endless if they are sound, whatever their chunks, seed ${seed}`, () => {
			const random = new core.util.SeededRandom(seed);
			for (let count = 0; count < responseCount; count++) {
				const headBytes = random.int(maxHeadBytes) + (random.int(maxInterimResponses) * random.int(1000));
				const bodyBytes = random.int(maxBodyBytes);
				const bytesPerChunk = 1 + random.int(random.int(2) === 0 ? 4 : readBytes);
				const factor = (bytesPerChunk + chunkOverheadBytes) / bytesPerChunk;
				const countBody = (bytes: number): number => Math.max(0, Math.floor((bytes - headBytes) / factor));
				expect(read(headBytes + (bodyBytes * factor), countBody).isEndless).to.equal(false);
			}
		});

		it(`are given up within a bound if nothing but framing arrives, seed ${seed}`, () => {
			const random = new core.util.SeededRandom(seed);
			for (let count = 0; count < responseCount; count++) {
				const bodyBytes = random.int(2) * random.int(2000);
				const {bytes, isEndless} = read(Infinity, at => Math.min(at, bodyBytes));
				expect(isEndless).to.equal(true);
				expect(bytes).to.be.below(maxEndlessBytes);
			}
		});
	}
});
