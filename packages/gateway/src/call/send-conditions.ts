import type * as core from '@bluebellmast/core';
import * as refusals from './refusal.js';
import type * as requestContext from './request-context.js';
import type * as requestDispatcher from './request-dispatcher.js';

/** What {@link SendConditions} depend on. */
export type SendConditionsOptions = Pick<requestDispatcher.ForwarderDependencies, 'clock' | 'gracefulShutdown' | 'quarantine' | 'authorizer'> & {
	/** In milliseconds of the monotonic clock. */
	readonly deadlineAt: number;
	/** Parts of the request's prompt that other requests may share. */
	readonly sharedParts: readonly string[];
};

/** How far a request has come. */
export type SendProgress = {
	readonly isTimedOut: boolean;
	/** Whether a response to the caller was started. */
	readonly hasStarted: boolean;
	/** Number of earlier attempts. */
	readonly tries: number;
};

/** Decides whether a request may be sent now, regardless of endpoints: by its deadline, a shutdown, the quarantine of prompt parts, and its API key. */
export class SendConditions {
	constructor(private readonly request: requestContext.RoutedRequest, private readonly options: SendConditionsOptions) {}

	/** Returns why the request may not be sent; `undefined` if it may. */
	findRefusal({isTimedOut, hasStarted, tries}: SendProgress): refusals.Refusal | undefined {
		const {clock, gracefulShutdown, authorizer, deadlineAt} = this.options;
		const now = clock.monotonicNow();
		if (isTimedOut || now >= deadlineAt) {
			return {code: refusals.RefusalCode.DeadlineTooClose};
		}

		if (!hasStarted && now > gracefulShutdown.latestSendAt(this.request.route, deadlineAt)) {
			return {code: refusals.RefusalCode.ShuttingDown, retryAfterMs: refusals.shuttingDownRetryAfterMs, inputs: {tries}};
		}

		const quarantined = this.findQuarantined();
		if (quarantined !== undefined) {
			const {part, releasedInMs} = quarantined;
			return {code: refusals.RefusalCode.PartQuarantined, retryAfterMs: releasedInMs, inputs: {part, tries}};
		}

		return authorizer.maySend(this.request)
			? undefined
			: {code: refusals.RefusalCode.ConfigUnavailable, retryAfterMs: refusals.noEndpointRetryAfterMs, inputs: {tries}};
	}

	/** Returns a quarantined part of the request's prompt; `undefined` if there is none. */
	findQuarantined(): core.quarantine.QuarantineMatch | undefined {
		return this.options.quarantine.match(this.options.sharedParts);
	}
}
