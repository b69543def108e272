import * as core from '@bluebellmast/core';
import type * as quarantineController from '../controllers/quarantine-controller.js';
import type * as endpoints from '../endpoints/index.js';
import type * as endpointInterruptions from '../placement/endpoint-interruptions.js';
import type * as endpointPauses from '../placement/endpoint-pauses.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import type * as fleetState from '../placement/fleet-state.js';
import type * as leavingRecorder from '../placement/leaving-recorder.js';
import type * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';
import type * as eventLog from '../util/event-log.js';
import type * as stepScheduler from '../util/step-scheduler.js';
import type * as attemptTarget from './attempt-target.js';
import * as failedSearches from './failed-searches.js';
import type * as requestContext from './request-context.js';
import * as requestForwarder from './request-forwarder.js';
import type * as refusals from './refusal.js';
import * as responseMemory from './response-memory.js';
import type * as retryWindows from './retry-windows.js';
import type * as requestQueue from './request-queue.js';
import * as silenceLog from './silence-log.js';

/** Dependencies of {@link RequestDispatcher}. */
export type DispatcherDependencies = {
	readonly fleet: fleetState.FleetState;
	readonly placer: endpointPlacer.EndpointPlacer;
	readonly pauses: endpointPauses.EndpointPauses;
	readonly interruptions: Pick<endpointInterruptions.EndpointInterruptions, 'record'>;
	readonly quarantine: Pick<quarantineController.QuarantineController, 'match' | 'recordCompletion' | 'recordAlive'>;
	readonly connections: endpoints.ConnectionPools;
	readonly protocol: ports.EndpointProtocol;
	readonly retryWindows: retryWindows.RetryWindows;
	readonly queue: requestQueue.RequestQueue;
	/** Records where prompt parts are cached. */
	readonly recordCacheObservations: (observations: readonly core.fleet.CacheObservation[]) => void;
	readonly leavingRecorder: leavingRecorder.LeavingRecorder;
	readonly authorizer: SendAuthorizer;
	readonly clock: clocks.Clocks;
	/** Runs the parsing of responses that cost much; one for each response by default. */
	readonly scheduler?: stepScheduler.StepScheduler;
	/** Memory for responses; not bounded by default. */
	readonly responseMemory?: responseMemory.ResponseMemory;
	readonly log: eventLog.EventLog;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
};

/** Dependencies of one request: those of the dispatcher, and what the requests share. */
export type ForwarderDependencies = DispatcherDependencies & {
	readonly failedSearches: failedSearches.FailedSearches;
	readonly silences: silenceLog.SilenceLog;
	readonly gracefulShutdown: core.request.GracefulShutdown;
	readonly responseMemory: responseMemory.ResponseMemory;
};

/** Decides immediately before each attempt whether a request may still be sent. */
export type SendAuthorizer = {
	maySend(ctx: requestContext.RoutedRequest): boolean;
};

/** Forwards requests to endpoints and keeps track of those in progress. */
export class RequestDispatcher {
	readonly #forwarders = new Set<requestForwarder.RequestForwarder>();
	readonly #dependencies: ForwarderDependencies;

	constructor(dependencies: DispatcherDependencies) {
		this.#dependencies = {
			...dependencies,
			failedSearches: new failedSearches.FailedSearches(),
			silences: new silenceLog.SilenceLog(dependencies.log),
			gracefulShutdown: new core.request.GracefulShutdown(),
			responseMemory: dependencies.responseMemory ?? new responseMemory.ResponseMemory(),
		};
	}

	/** Forwards a request. @returns A refusal if no response of an endpoint was relayed to the caller. */
	async dispatch(ctx: requestContext.RoutedRequest): Promise<refusals.Refusal | undefined> {
		const forwarder = new requestForwarder.RequestForwarder(ctx, this.#dependencies);
		this.#forwarders.add(forwarder);
		try {
			return await forwarder.forward();
		} finally {
			this.#forwarders.delete(forwarder);
		}
	}

	/**
	 * Begins a graceful shutdown: requests that can't be completed before its end are no longer sent.
	 *
	 * @param endsAt - When the process ends, in milliseconds of the monotonic clock.
	 * @param lateStreamsAt - From when on only those streams are sent whose deadline is before that.
	 */
	beginShutdown(endsAt: number, lateStreamsAt: number): void {
		this.#dependencies.gracefulShutdown.begin(endsAt, lateStreamsAt);
	}

	/** Aborts the attempts that have not started on weights that may soon no longer be used. */
	abortOutdatedAttempts(now: clocks.Instant): void {
		for (const forwarder of this.#forwarders) {
			forwarder.abortOutdatedAttempts(now);
		}
	}

	/** Aborts the attempts whose connection is not open at endpoints that asked for a pause meanwhile. */
	abortPausedAttempts(): void {
		for (const forwarder of this.#forwarders) {
			forwarder.abortPausedAttempts();
		}
	}

	/** Aborts the attempts whose direct connection is not open, at endpoints whose path is interrupted. */
	abortInterruptedAttempts(): void {
		for (const forwarder of this.#forwarders) {
			forwarder.abortInterruptedAttempts();
		}
	}

	/** Ends the waits and the attempts of requests with a quarantined part whose response has not begun. */
	abortQuarantined(): void {
		for (const forwarder of this.#forwarders) {
			forwarder.abortIfQuarantined();
		}
	}

	/** Finds an endpoint by an attempt that is in progress there; it may no longer be listed, nor its pool be configured. */
	findTarget(endpoint: core.fleet.EndpointEntry['id']): attemptTarget.AttemptTarget | undefined {
		for (const forwarder of this.#forwarders) {
			const target = forwarder.findTarget(endpoint);
			if (target !== undefined) {
				return target;
			}
		}

		return undefined;
	}

	/** Sends the requests at an endpoint that does not respond to other endpoints as well, where that is possible. */
	replaceSilentAttempts(endpoint: core.fleet.EndpointEntry['id']): void {
		this.#dependencies.failedSearches.clear();
		for (const forwarder of this.#forwarders) {
			forwarder.replaceSilentAttempt(endpoint);
		}
	}
}
