import * as buffer from 'node:buffer';
import * as byteAccumulator from '../util/byte-accumulator.js';

/** Complete events of a stream, with the ids of the first and the last one. */
export type EventBatch = {
	readonly bytes: Uint8Array;
	readonly firstId: number | undefined;
	readonly lastId: number | undefined;
	/** Number of events that have an id. */
	readonly count: number;
	/** Whether there is an event without an id, other than a comment. */
	readonly hasUnidentified: boolean;
};

const lineFeed = 10;
/** Longest end of an event, in bytes: two line ends, of which the first one may lack the carriage return. */
const maxEndBytes = 3;
const idPattern = /^id: ?(\d+)\r?$/gm;
const endOfEventPattern = /\r?\n\r?\n/;
const idLinePattern = /^id: ?\d+\r?$/;

/** Splits the bytes of an event stream at event boundaries, so that no partial event is relayed. */
export class EventSplitter {
	/** The incomplete event at the end. */
	readonly #pending = new byteAccumulator.ByteAccumulator();
	/** Last bytes of the incomplete event, in which the end of an event may have begun. */
	#tail: Uint8Array = buffer.Buffer.alloc(0);

	/** Number of bytes of the incomplete event at the end. */
	get pendingBytes(): number {
		return this.#pending.length;
	}

	/** Appends bytes. @returns The events that are now complete, or `undefined` if there are none. */
	push(chunk: Uint8Array): EventBatch | undefined {
		const searched = this.#tail.length === 0 ? chunk : buffer.Buffer.concat([this.#tail, chunk]);
		const end = findEndOfLastEvent(searched) - this.#tail.length;
		if (end <= 0) {
			this.#append(chunk, searched);
			return undefined;
		}

		const complete = chunk.subarray(0, end);
		const bytes = this.#pending.length === 0 ? complete : buffer.Buffer.concat([this.#pending.take(), complete]);
		const rest = chunk.subarray(end);
		this.#append(rest, rest);
		return createBatch(bytes);
	}

	/** @param searched - The bytes with the tail before them. */
	#append(bytes: Uint8Array, searched: Uint8Array): void {
		if (bytes.length > 0) {
			this.#pending.push(bytes);
		}

		this.#tail = searched.subarray(Math.max(0, searched.length - maxEndBytes + 1));
	}
}

/** Returns the offset after the last empty line, which ends an event, or 0 if there is none. */
function findEndOfLastEvent(bytes: Uint8Array): number {
	for (let index = bytes.length - 1; index > 0; index--) {
		if (bytes[index] !== lineFeed) {
			continue;
		}

		const before = bytes[index - 1] === 13 ? index - 2 : index - 1;
		if (bytes[before] === lineFeed) {
			return index + 1;
		}
	}

	return 0;
}

function createBatch(bytes: Uint8Array): EventBatch {
	const text = buffer.Buffer.from(bytes).toString('latin1');
	const ids = [...text.matchAll(idPattern)].map(match => Number(match[1]));
	const events = text.split(endOfEventPattern).filter(event => event !== '');
	return {
		bytes, firstId: ids[0], lastId: ids.at(-1), count: ids.length, hasUnidentified: events.some(event => !isIdentified(event) && !isComment(event)),
	};
}

function isIdentified(event: string): boolean {
	return event.split('\n').some(line => idLinePattern.test(line));
}

function isComment(event: string): boolean {
	return event.split('\n').every(line => line.startsWith(':') || line === '\r');
}
