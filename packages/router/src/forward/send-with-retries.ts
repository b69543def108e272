import * as timers from 'node:timers/promises';

/** Interval between two sends of a message that a link did not accept, in milliseconds. */
const resendIntervalMs = 100;

/**
 * Sends a message until a link accepts it. A link accepts nothing while it is silent, and is replaced within seconds.
 *
 * @param send - Sends the message; returns whether it was accepted.
 * @param maxWaitMs - Time after which no further send is started, in milliseconds.
 * @returns Whether the message was accepted.
 */
export async function sendWithRetries(send: () => boolean, maxWaitMs: number): Promise<boolean> {
	for (let waitedMs = 0; !send(); waitedMs += resendIntervalMs) {
		if (waitedMs >= maxWaitMs) {
			return false;
		}

		await timers.setTimeout(resendIntervalMs); // eslint-disable-line no-await-in-loop
	}

	return true;
}
