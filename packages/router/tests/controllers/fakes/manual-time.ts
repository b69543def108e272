import type * as router from '@bluebellmast/router';

type Pending = {
	readonly at: number;
	readonly callback: () => void;
};

/** Clock and timer that only advance when the test says so. */
export class ManualTime {
	nowMs = 1_000_000;
	#pending: Pending[] = [];

	now(): number {
		return this.nowMs;
	}

	after(delayMs: number, callback: () => void): () => void {
		const pending = {at: this.nowMs + delayMs, callback};
		this.#pending.push(pending);
		return () => {
			this.#pending = this.#pending.filter(item => item !== pending);
		};
	}

	/** Advances the time and runs the callbacks that are due; flushes pending promises after each one. */
	async advance(ms: number): Promise<void> {
		const end = this.nowMs + ms;
		await flushPromises();
		for (;;) {
			const due = this.#pending.filter(item => item.at <= end).sort((a, b) => a.at - b.at)[0];
			if (due === undefined) {
				break;
			}

			this.#pending = this.#pending.filter(item => item !== due);
			this.nowMs = Math.max(this.nowMs, due.at);
			due.callback();
			await flushPromises(); // eslint-disable-line no-await-in-loop
		}

		this.nowMs = end;
	}
}

/** Resolves after all promises that wait for no timer or I/O have settled. */
export async function flushPromises(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** Metrics that discard all values. */
export const noMetrics: router.metrics.Metrics = {
	increment() {
		// Not needed.
	},
	gauge() {
		// Not needed.
	},
	timing() {
		// Not needed.
	},
};
