import * as silenceTimer from './silence-timer.js';

/**
 * Ends a call after a time without its response, or when its caller gives it up. The timer refers to the signal: one that is combined by
 * `AbortSignal.any` from `AbortSignal.timeout` may be collected as garbage before the timeout, and then never aborts.
 */
export class CallDeadline {
	readonly #controller = new AbortController();
	readonly #timer: silenceTimer.SilenceTimer;
	readonly #onCallerAbort: () => void;

	/**
	 * @param timeoutMs - Time until the call is aborted with a `TimeoutError`, in milliseconds.
	 * @param callerSignal - Aborts the call earlier, with its reason.
	 */
	constructor(timeoutMs: number, private readonly callerSignal?: AbortSignal) {
		this.#timer = new silenceTimer.SilenceTimer(timeoutMs, () => {
			this.#controller.abort(new DOMException(`no response within ${timeoutMs} ms`, 'TimeoutError'));
		});
		this.#onCallerAbort = () => {
			this.#controller.abort(callerSignal?.reason);
		};

		callerSignal?.addEventListener('abort', this.#onCallerAbort, {once: true});
		if (callerSignal?.aborted) {
			this.#onCallerAbort();
		}
	}

	/** Aborts at the end of the time or with the caller's signal. */
	get signal(): AbortSignal {
		return this.#controller.signal;
	}

	/** Releases the timer and the listener after the call has ended. */
	clear(): void {
		this.#timer.clear();
		this.callerSignal?.removeEventListener('abort', this.#onCallerAbort);
	}
}
