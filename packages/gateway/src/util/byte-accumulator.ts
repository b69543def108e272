import * as buffer from 'node:buffer';

/** Sizes of the blocks for small pieces, in bytes: a part of what has arrived, so that little of it remains free. */
const minBlockBytes = 1024;
const maxBlockBytes = 65_536;
const growthDivisor = 4;

/**
 * Bytes that arrive in pieces. They are copied into blocks, so that their memory depends on their number, not on that of the pieces: a piece of one byte takes some
 * hundred bytes as an object of its own.
 */
export class ByteAccumulator {
	readonly #blocks: Uint8Array[] = [];
	/** Block that is being filled, and the bytes in it. */
	#open: Uint8Array = buffer.Buffer.alloc(0);
	#openBytes = 0;
	#length = 0;
	#allocatedBytes = 0;

	/** Number of bytes. */
	get length(): number {
		return this.#length;
	}

	/** Memory of the blocks, in bytes; at most that of a small block, or a quarter more than the bytes of small pieces and twice those of a large one. */
	get allocatedBytes(): number {
		return this.#allocatedBytes;
	}

	/** Appends a piece, which the caller must not change afterwards. */
	push(piece: Uint8Array): void {
		if (this.#length === 0 && isCompact(piece)) {
			// Most bodies arrive as one piece.
			this.#blocks.push(piece);
			this.#length = piece.length;
			this.#allocatedBytes = piece.buffer.byteLength;
			return;
		}

		let offset = 0;
		while (offset < piece.length) {
			if (this.#openBytes === this.#open.length) {
				this.#addBlock(piece.length - offset);
			}

			const part = piece.subarray(offset, offset + this.#open.length - this.#openBytes);
			this.#open.set(part, this.#openBytes);
			this.#openBytes += part.length;
			this.#length += part.length;
			offset += part.length;
		}
	}

	/** Returns all bytes as one piece, and forgets them. */
	take(): Uint8Array {
		const blocks = this.#openBytes === 0 ? [...this.#blocks] : [...this.#blocks, this.#open.subarray(0, this.#openBytes)];
		this.#blocks.length = 0;
		this.#open = buffer.Buffer.alloc(0);
		this.#openBytes = 0;
		this.#length = 0;
		this.#allocatedBytes = 0;
		return blocks.length === 1 ? blocks[0]! : buffer.Buffer.concat(blocks);
	}

	#addBlock(missingBytes: number): void {
		if (this.#openBytes > 0) {
			this.#blocks.push(this.#open);
		}

		this.#open = buffer.Buffer.allocUnsafeSlow(Math.max(minBlockBytes, missingBytes, Math.min(maxBlockBytes, this.#length / growthDivisor)));
		this.#openBytes = 0;
		this.#allocatedBytes += this.#open.length;
	}
}

/** Whether a piece can be kept as it is: it keeps the whole memory alive that it is a part of. */
function isCompact(piece: Uint8Array): boolean {
	return piece.length >= minBlockBytes && piece.buffer.byteLength <= 2 * piece.length;
}
