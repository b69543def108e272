import * as core from '@bluebellmast/core';

/** Watch on the weights of one attempt. */
export type WeightsWatch = {
	/** Aborted when the weights are recalled. */
	readonly signal: AbortSignal;
	close(): void;
};

type WatchEntry = {
	readonly weights: core.model.Weights;
	readonly controller: AbortController;
};

/** Aborts attempts whose weights are recalled while they run. */
export class RecallWatcher {
	readonly #entries = new Set<WatchEntry>();
	#recalledBatches: ReadonlySet<core.model.BatchKey> = new Set();

	/** Applies a new manifest: aborts the watches on weights that it recalls. */
	update(manifest: core.model.Manifest): void {
		this.#recalledBatches = new Set(manifest.recalled);
		for (const entry of this.#entries) {
			this.#abortIfRecalled(entry);
		}
	}

	/** Watches weights until the returned watch is closed. The signal is aborted at once if the weights are recalled already. */
	watch(weights: core.model.Weights): WeightsWatch {
		const entry = {weights, controller: new AbortController()};
		this.#entries.add(entry);
		this.#abortIfRecalled(entry);
		return {
			signal: entry.controller.signal,
			close: () => {
				this.#entries.delete(entry);
			},
		};
	}

	#abortIfRecalled(entry: WatchEntry): void {
		if (core.model.isRecalled(entry.weights, this.#recalledBatches)) {
			entry.controller.abort(core.model.ErrorCode.WeightsRecalled);
		}
	}
}
