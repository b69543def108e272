import * as timers from 'node:timers/promises';

/** Waits `ms` milliseconds; resolves early, without an error, when `signal` is aborted. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
	if (ms <= 0) {
		return;
	}

	try {
		await timers.setTimeout(ms, undefined, {signal});
	} catch {}
}
