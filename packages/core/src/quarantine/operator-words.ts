import type * as changeTimes from '../store/change-times.js';
import * as operatorWord from './operator-word.js';

/** A word as a VM keeps it; times are in milliseconds of a clock that includes suspensions of the VM. */
export type KeptWord = operatorWord.OperatorWord & {
	/** When it was said. */
	readonly saidAt: number;
	readonly endsAt: number;
};

/** Circumstances in which a VM reads a word. */
export type WordReading = {
	/** When the read value was written, by the clock that includes suspensions. */
	readonly changed: Pick<changeTimes.ChangeInterval, 'after' | 'before'>;
	/** Time of that clock. */
	readonly now: number;
	/** Time of the VM in milliseconds since the Unix epoch. */
	readonly wallNow: number;
};

/** Largest difference of the clocks of operators and VMs, in milliseconds, up to which a word counts from its write. */
const maxClockDifferenceMs = 60_000;

/**
 * Operators' words on prompt parts, the last one on each. Words are added and end, and are never forgotten before, so that a
 * store that returned from a copy without them takes none away.
 */
export class OperatorWords {
	readonly #words = new Map<string, KeptWord>();

	/** Number of words. */
	get size(): number {
		return this.#words.size;
	}

	/** Records a word. @returns It, if it is later than the known one on its part and has not ended. */
	record(word: operatorWord.OperatorWord, reading: WordReading): KeptWord | undefined {
		const known = this.#words.get(word.part);
		const saidAt = computeSaidAt(word, reading);
		const endsAt = saidAt + Math.min(word.until - word.at, operatorWord.maxWordLifetimeMs);
		if ((known !== undefined && known.at >= word.at) || endsAt <= reading.now) {
			return undefined;
		}

		const kept = {...word, saidAt, endsAt};
		this.#words.set(word.part, kept);
		this.#dropSurplus();
		return kept;
	}

	/** Removes the words that have ended, and returns them. */
	expire(now: number): KeptWord[] {
		const ended = [...this.#words.values()].filter(word => word.endsAt <= now);
		for (const {part} of ended) {
			this.#words.delete(part);
		}

		return ended;
	}

	/** Returns the word by which a part is quarantined. */
	findAdded(parts: readonly string[], now: number): KeptWord | undefined {
		if (this.#words.size === 0) {
			return undefined;
		}

		return parts.map(part => this.#words.get(part))
			.find(word => word?.action === operatorWord.OperatorAction.Add && word.endsAt > now);
	}

	#dropSurplus(): void {
		if (this.#words.size > operatorWord.maxOperatorWords) {
			const [oldest] = [...this.#words.values()].sort((a, b) => a.at - b.at);
			this.#words.delete(oldest!.part);
		}
	}
}

/** The clocks of operators may be wrong by some seconds, while the VM knows between which of its reads the word was written. */
function computeSaidAt({at}: operatorWord.OperatorWord, {changed, now, wallNow}: WordReading): number {
	const byWallClock = now - (wallNow - at);
	const earliest = byWallClock < changed.after - maxClockDifferenceMs ? -Infinity : changed.after;
	return Math.min(Math.max(byWallClock, earliest), changed.before, now);
}
