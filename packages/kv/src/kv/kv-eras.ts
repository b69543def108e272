import * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import * as kvError from './kv-error.js';

/** Receives what responses tell about the era of the key-value service. */
export type KvEraListener = {
	/**
	 * Called before the response is used whenever it carries a newer era than all before.
	 *
	 * @param previous - Newest era before; `undefined` if this is the first one that was seen.
	 */
	onEra(era: number, previous: number | undefined): void;
	/** Called once, at the first response without a usable era. @param text - What it states instead, if anything. */
	onUnusableEra?(text: string | undefined): void;
};

/** The eras of the key-value service as one client sees them; every response is checked here before it is used. */
export class KvEras {
	readonly #tracker = new core.store.EraTracker();
	readonly #listeners: KvEraListener[] = [];
	#hasReportedUnusable = false;

	/** Newest era seen; `undefined` while no response carried one. */
	get newest(): number | undefined {
		return this.#tracker.newest;
	}

	/** Adds a listener; listeners are called in the order in which they were added. */
	subscribe(listener: KvEraListener): void {
		this.#listeners.push(listener);
	}

	/** Returns an error if a revision or a lease of the given era can no longer be used. */
	checkCall(basedOn: number | undefined): purify.Either<kvError.KvError, void> {
		return this.#tracker.isOutdated(basedOn) ? purify.Left(this.#createError(kvError.KvErrorCode.EraCrossed, basedOn)) : purify.Right(undefined);
	}

	/**
	 * Checks a response.
	 *
	 * @param text - Text of the era that the response carries, if any.
	 * @param basedOn - Era of the revision or the lease that the call named.
	 * @returns The era of the response, or the error if it must not be used.
	 */
	checkResponse(text: string | undefined, basedOn?: number): purify.Either<kvError.KvError, number | undefined> {
		const era = text === undefined ? undefined : core.store.parseEra(text);
		if (era === undefined) {
			this.#reportUnusable(text);
		}

		const previous = this.#tracker.newest;
		const {verdict} = this.#tracker.judge(era, basedOn);
		if (era !== undefined && (previous === undefined || era > previous)) {
			for (const listener of this.#listeners) {
				listener.onEra(era, previous);
			}
		}

		switch (verdict) {
			case core.store.EraVerdict.Current: {
				return purify.Right(era);
			}

			case core.store.EraVerdict.Outdated: {
				return purify.Left(this.#createError(kvError.KvErrorCode.EraOutdated, era));
			}

			case core.store.EraVerdict.Crossed: {
				return purify.Left(this.#createError(kvError.KvErrorCode.EraCrossed, basedOn));
			}
		}
	}

	#reportUnusable(text: string | undefined): void {
		if (this.#hasReportedUnusable) {
			return;
		}

		this.#hasReportedUnusable = true;
		for (const listener of this.#listeners) {
			listener.onUnusableEra?.(text);
		}
	}

	#createError(code: kvError.KvErrorCode, era: number | undefined): kvError.KvError {
		return {code, message: `era ${era} has ended; the newest one is ${this.newest}`};
	}
}

/** A client whose responses carry the era of the service. */
export interface KvEraSource { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	readonly eras: KvEras;
}
