import type * as changeTimes from '../store/change-times.js';
import * as operatorOverride from './operator-override.js';

/** An override as a VM keeps it; times are in milliseconds of a clock that includes suspensions of the VM. */
export type KeptOverride = operatorOverride.OperatorOverride & {
	/** When it was given. */
	readonly givenAt: number;
	readonly endsAt: number;
};

/** Circumstances in which a VM reads an override. */
export type OverrideReading = {
	/** When the read value was written, by the clock that includes suspensions. */
	readonly changed: Pick<changeTimes.ChangeInterval, 'after' | 'before'>;
	/** Time of that clock. */
	readonly now: number;
	/** Time of the VM in milliseconds since the Unix epoch. */
	readonly wallNow: number;
};

/** Largest difference of the clocks of operators and VMs, in milliseconds, up to which an override counts from its write. */
const maxClockDifferenceMs = 60_000;

/**
 * Operators' overrides on prompt parts, the last one on each. An override is kept until it ends, also if the
 * store was restored from a copy without it.
 */
export class OperatorOverrides {
	readonly #overrides = new Map<string, KeptOverride>();

	/** Number of overrides. */
	get size(): number {
		return this.#overrides.size;
	}

	/** Records an override. @returns It, if it is later than the known one on its part and has not ended. */
	record(override: operatorOverride.OperatorOverride, reading: OverrideReading): KeptOverride | undefined {
		const known = this.#overrides.get(override.part);
		const givenAt = computeGivenAt(override, reading);
		const endsAt = givenAt + Math.min(override.until - override.at, operatorOverride.maxOverrideLifetimeMs);
		if ((known !== undefined && known.at >= override.at) || endsAt <= reading.now) {
			return undefined;
		}

		const kept = {...override, givenAt, endsAt};
		this.#overrides.set(override.part, kept);
		this.#dropSurplus();
		return kept;
	}

	/** Removes the overrides that have ended, and returns them. */
	expire(now: number): KeptOverride[] {
		const ended = [...this.#overrides.values()].filter(override => override.endsAt <= now);
		for (const {part} of ended) {
			this.#overrides.delete(part);
		}

		return ended;
	}

	/** Returns the override by which a part is quarantined. */
	findAdded(parts: readonly string[], now: number): KeptOverride | undefined {
		if (this.#overrides.size === 0) {
			return undefined;
		}

		return parts.map(part => this.#overrides.get(part))
			.find(override => override?.action === operatorOverride.OperatorAction.Add && override.endsAt > now);
	}

	#dropSurplus(): void {
		if (this.#overrides.size > operatorOverride.maxOperatorOverrides) {
			const [oldest] = [...this.#overrides.values()].sort((a, b) => a.at - b.at);
			this.#overrides.delete(oldest!.part);
		}
	}
}

/** The clocks of operators may be wrong by some seconds, while the VM knows between which of its reads the override was written. */
function computeGivenAt({at}: operatorOverride.OperatorOverride, {changed, now, wallNow}: OverrideReading): number {
	const byWallClock = now - (wallNow - at);
	const earliest = byWallClock < changed.after - maxClockDifferenceMs ? -Infinity : changed.after;
	return Math.min(Math.max(byWallClock, earliest), changed.before, now);
}
