/** Calls back once after a time. */
export interface LedgerTimer { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Returns a function that cancels the call. */
	after(delayMs: number, callback: () => void): () => void;
}

/** Timer of the machine; it keeps no process alive. */
export class SystemTimer implements LedgerTimer {
	after(delayMs: number, callback: () => void): () => void {
		const timeout = setTimeout(callback, delayMs);
		timeout.unref();
		return () => {
			clearTimeout(timeout);
		};
	}
}
