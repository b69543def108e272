import * as durationTable from './duration-table.js';

/** What a request waits for. */
export enum WaitCause {
	/** An endpoint of the pool sends nothing, and none is left. */
	Silence = 'silence',
	/** No endpoint of the pool is listed, or all are leaving. */
	Departure = 'departure',
	/** The endpoints of the pool load weights, or have none that may be used. */
	Weights = 'weights',
	/** The endpoints that could serve the request have no capacity. */
	Capacity = 'capacity',
}

/** State of a wait. */
export type WaitState = {
	readonly cause: WaitCause;
	/** How long the cause has lasted, in milliseconds. */
	readonly elapsedMs: number;
	/** Time within which the wait must end to be of use, in milliseconds. */
	readonly timeLeftMs: number;
};

/** Decides whether requests wait for the end of a state whose duration is not known. */
export type WaitRules = {
	/** Returns whether a request may wait, or go on to wait. */
	mayWait(state: WaitState): boolean;
	/** Returns the expected time until the state ends, in milliseconds. */
	expectedMs(cause: WaitCause, elapsedMs: number): number;
	/**
	 * Records how long a state lasted, in milliseconds.
	 *
	 * @param hasEnded - Whether it ended then; otherwise it lasted at least as long.
	 */
	recordDuration(cause: WaitCause, durationMs: number, hasEnded: boolean): void;
};

/**
 * Chance of being served above which a request waits. A request that waits in vain loses the time in which its caller could have turned elsewhere.
 */
const defaultMinChance = 0.5;

/** Lets requests wait as long as the states of the same cause that lasted as long mostly ended in the time that is left. */
export class LearnedWaitRules implements WaitRules {
	readonly #tables = new Map<WaitCause, durationTable.DurationTable>();

	constructor(private readonly minChance = defaultMinChance, private readonly prior = durationTable.defaultDurationPrior) {}

	mayWait({cause, elapsedMs, timeLeftMs}: WaitState): boolean {
		return timeLeftMs > 0 && this.#tableOf(cause).chanceOfEnd(elapsedMs, timeLeftMs) >= this.minChance;
	}

	expectedMs(cause: WaitCause, elapsedMs: number): number {
		return this.#tableOf(cause).medianRemainingMs(elapsedMs);
	}

	recordDuration(cause: WaitCause, durationMs: number, hasEnded: boolean): void {
		this.#tableOf(cause).record(durationMs, hasEnded);
	}

	#tableOf(cause: WaitCause): durationTable.DurationTable {
		const known = this.#tables.get(cause);
		if (known !== undefined) {
			return known;
		}

		const table = new durationTable.DurationTable(this.prior);
		this.#tables.set(cause, table);
		return table;
	}
}
