import type * as core from '@bluebellmast/core';

/** The requests in flight at this router. */
export class ActiveRequests {
	readonly #ids = new Set<core.model.RequestId>();
	/** Callbacks of the callers of `waitUntilEmpty`. */
	readonly #emptyCallbacks: Array<() => void> = [];

	/** Number of requests in flight. */
	get size(): number {
		return this.#ids.size;
	}

	/** Adds a request. Returns the function that removes it when it has ended. */
	add(id: core.model.RequestId): () => void {
		this.#ids.add(id);
		return () => {
			this.#ids.delete(id);
			this.#notifyIfEmpty();
		};
	}

	/** Waits until no request is in flight. */
	async waitUntilEmpty(): Promise<void> {
		if (this.#ids.size === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#emptyCallbacks.push(resolve);
		});
	}

	#notifyIfEmpty(): void {
		if (this.#ids.size > 0) {
			return;
		}

		for (const resolve of this.#emptyCallbacks.splice(0)) {
			resolve();
		}
	}
}
