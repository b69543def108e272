import type * as core from '@bluebellmast/core';

/** The requests under way. */
export class ActiveRequests {
	readonly #ids = new Set<core.model.RequestId>();
	readonly #waiting: Array<() => void> = [];

	/** Number of requests under way. */
	get size(): number {
		return this.#ids.size;
	}

	/** Notes a request until the returned function is called. */
	add(id: core.model.RequestId): () => void {
		this.#ids.add(id);
		return () => {
			this.#ids.delete(id);
			this.#notifyIfEmpty();
		};
	}

	/** Waits until no request is under way. */
	async waitUntilEmpty(): Promise<void> {
		if (this.#ids.size === 0) {
			return;
		}

		await new Promise<void>(resolve => {
			this.#waiting.push(resolve);
		});
	}

	#notifyIfEmpty(): void {
		if (this.#ids.size > 0) {
			return;
		}

		for (const resolve of this.#waiting.splice(0)) {
			resolve();
		}
	}
}
