import {Buffer} from 'node:buffer';
import process from 'node:process';
import * as chai from 'chai';
import * as fastCheck from 'fast-check';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;

function toText(batch: gateway.call.EventBatch | undefined): string {
	return batch === undefined ? '' : Buffer.from(batch.bytes).toString();
}

describe('EventSplitter', () => {
	it('returns only complete events, with the ids of the first and the last', () => {
		const splitter = new gateway.call.EventSplitter();
		expect(splitter.push(Buffer.from('id: 4\nda'))).to.equal(undefined);
		const batch = splitter.push(Buffer.from('ta: x\n\nid: 5\ndata: y\n\nid: 6'));
		expect(toText(batch)).to.equal('id: 4\ndata: x\n\nid: 5\ndata: y\n\n');
		expect([batch?.firstId, batch?.lastId, batch?.count]).to.deep.equal([4, 5, 2]);
		expect(splitter.pendingBytes).to.equal(5);
	});

	it('accepts LF and CRLF line endings', () => {
		const batch = new gateway.call.EventSplitter().push(Buffer.from('id: 1\r\ndata: x\r\n\r\nid: 2\ndata: y\n\n'));
		expect([batch?.firstId, batch?.lastId]).to.deep.equal([1, 2]);
	});

	it('finds the end of an event that is split over chunks', () => {
		for (const text of ['id: 1\ndata: x\n\nid: 2', 'id: 1\r\ndata: x\r\n\r\nid: 2']) {
			const splitter = new gateway.call.EventSplitter();
			const batches = [...text].map(character => splitter.push(Buffer.from(character))).filter(batch => batch !== undefined);
			expect(batches.map(batch => toText(batch))).to.deep.equal([text.slice(0, -'id: 2'.length)]);
			expect(splitter.pendingBytes).to.equal('id: 2'.length);
		}
	});

	it('takes time in proportion to the bytes of an event without an end', () => {
		const chunk = Buffer.alloc(1024, 'x');
		const measure = (chunks: number): number => {
			const splitter = new gateway.call.EventSplitter();
			const startedAt = process.cpuUsage().user;
			for (let count = 0; count < chunks; count++) {
				splitter.push(chunk);
			}

			return process.cpuUsage().user - startedAt;
		};

		// The processor time of the process includes its garbage collection and compilation, which may fall into any one of the measurements.
		const measureBest = (chunks: number): number => Math.min(...Array.from({length: 5}, () => measure(chunks)));

		measure(4000);
		// Processor time is counted in steps of milliseconds, so the shorter of the measurements must take several of them.
		// Time in proportion to the square would be 256 times as long; a margin of four allows for a busy machine.
		expect(measureBest(64_000)).to.be.below(64 * Math.max(1000, measureBest(4000)));
	});

	it('preserves all bytes, wherever the chunks are split', () => {
		const text = Array.from({length: 5}, (_, index) => `id: ${index + 1}\ndata: token ${index}\n\n`).join('');
		fastCheck.assert(fastCheck.property(fastCheck.array(fastCheck.nat({max: text.length}), {maxLength: 8}), cuts => {
			const bounds = [0, ...cuts.sort((a, b) => a - b), text.length];
			const splitter = new gateway.call.EventSplitter();
			const parts = bounds.slice(1).map((end, index) => splitter.push(Buffer.from(text.slice(bounds[index], end))));
			return parts.map(part => toText(part)).join('') === text && splitter.pendingBytes === 0;
		}), {seed: 5, numRuns: 200});
	});
});
