import * as clients from '@bluebellmast/kv';

/**
 * Timeout of the heads of requests. A timeout that is lowered takes effect once the heads have ended that began under the one before, since
 * their callers send them according to it.
 */
export class HeaderTimeout {
	#lowering: NodeJS.Timeout | undefined;
	#currentMs: number | undefined;
	#targetMs: number | undefined;

	constructor(private readonly apply: (timeoutMs: number) => void) {}

	/** Sets the timeout in milliseconds; the first one takes effect at once. */
	set(timeoutMs: number): void {
		if (timeoutMs === this.#targetMs) {
			return;
		}

		this.#targetMs = timeoutMs;
		clearTimeout(this.#lowering);
		if (this.#currentMs === undefined || timeoutMs >= this.#currentMs) {
			this.#apply(timeoutMs);
			return;
		}

		this.#lowering = setTimeout(() => {
			this.#apply(timeoutMs);
		}, clients.timeouts.toTimerMs(this.#currentMs));
		this.#lowering.unref();
	}

	/** Stops a change that is waiting. */
	close(): void {
		clearTimeout(this.#lowering);
	}

	#apply(timeoutMs: number): void {
		this.#currentMs = timeoutMs;
		this.apply(timeoutMs);
	}
}
