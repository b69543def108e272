/** Calls back once after a time. */
export interface OneShotTimer { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns a function that cancels the call. */
	after(delayMs: number, callback: () => void): () => void;
}

/** Timer of the machine; it keeps no process alive. */
export class SystemTimer implements OneShotTimer {
	after(delayMs: number, callback: () => void): () => void {
		const timeout = setTimeout(callback, delayMs);
		timeout.unref();
		return () => {
			clearTimeout(timeout);
		};
	}
}
