import type * as core from '@bluebellmast/core';
import * as eventLog from '../util/event-log.js';

/** Time over which silent attempts at an endpoint are counted together, in milliseconds: that between two checks of the endpoint. */
const periodMs = 1000;
/** Number of attempts at an endpoint that get a line of their own in a period. */
const maxLines = 8;
/** Stands for the obstacle of attempts that were replaced. */
const replaced = 'replaced';

/** Logs attempts that send nothing for too long: the first ones at an endpoint one by one, the others of a period by counts. */
export class SilenceLog {
	/** Counts by obstacle of the present period, by endpoint. */
	readonly #periods = new Map<string, {lines: number; readonly counts: Map<string, number>}>();

	constructor(private readonly log: eventLog.EventLog) {}

	/**
	 * Records a silent attempt.
	 *
	 * @param obstacle - Why the request is not sent to another endpoint; absent if it is.
	 */
	record(request: string, endpoint: string, obstacle: core.log.RetryObstacle | undefined): void {
		const period = this.#periods.get(endpoint) ?? this.#begin(endpoint);
		if (period.lines < maxLines) {
			period.lines += 1;
			this.log.write(eventLog.LogEvent.AttemptSilent, {request, endpoint, obstacle});
			return;
		}

		const reason = obstacle ?? replaced;
		period.counts.set(reason, (period.counts.get(reason) ?? 0) + 1);
	}

	#begin(endpoint: string): {lines: number; readonly counts: Map<string, number>} {
		const period = {lines: 0, counts: new Map<string, number>()};
		this.#periods.set(endpoint, period);
		setTimeout(() => {
			this.#periods.delete(endpoint);
			const counts = [...period.counts].sort(([, a], [, b]) => b - a);
			if (counts.length > 0) {
				this.log.write(eventLog.LogEvent.AttemptsSilent, {
					endpoint, others: counts.reduce((sum, [, count]) => sum + count, 0), reasons: counts.map(([reason, count]) => `${reason} ${count}`).join(', '),
				});
			}
		}, periodMs).unref();
		return period;
	}
}
