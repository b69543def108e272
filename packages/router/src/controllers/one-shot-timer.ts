/** Calls a function once after a delay. */
export interface OneShotTimer { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Schedules the call; returns a function that cancels it. */
	after(delayMs: number, callback: () => void): () => void;
}

/** Timer based on `setTimeout`; it does not keep the process alive. */
export class SystemTimer implements OneShotTimer {
	after(delayMs: number, callback: () => void): () => void {
		const timeout = setTimeout(callback, delayMs);
		timeout.unref();
		return () => {
			clearTimeout(timeout);
		};
	}
}
