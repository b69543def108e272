import * as clients from '@bluebellmast/kv';

/** Calls a function once after a delay. */
export interface OneShotTimer { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	/** Schedules the call; returns a function that cancels it. */
	after(delayMs: number, callback: () => void): () => void;
}

/** Timer that calls back after the input that had arrived was read; it does not keep the process alive. */
export class SystemTimer implements OneShotTimer {
	after(delayMs: number, callback: () => void): () => void {
		const timer = new clients.timeouts.InputTimer(delayMs, callback);
		timer.unref();
		return () => {
			timer.clear();
		};
	}
}
