import * as core from '@bluebellmast/core';

/** Watches that one attempt's weights stay allowed. */
export type WeightsWatch = {
	/** Aborted when the weights are recalled. */
	readonly signal: AbortSignal;
	close(): void;
};

type WatchEntry = {
	readonly weights: core.model.Weights;
	readonly controller: AbortController;
};

/** Ends attempts on weights that are recalled while they run. */
export class RecallWatcher {
	readonly #entries = new Set<WatchEntry>();
	#recalledBatches: ReadonlySet<core.model.BatchKey> = new Set();

	/** Takes a manifest into force. */
	update(manifest: core.model.Manifest): void {
		this.#recalledBatches = new Set(manifest.recalled);
		for (const entry of this.#entries) {
			this.#abortIfRecalled(entry);
		}
	}

	/** Watches weights until `close`. */
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
