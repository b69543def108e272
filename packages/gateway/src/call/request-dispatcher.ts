import type * as core from '@bluebellmast/core';
import type * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import type * as fleetState from '../placement/fleet-state.js';
import type * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';
import type * as eventLog from '../util/event-log.js';
import type * as requestContext from './request-context.js';
import * as requestForwarder from './request-forwarder.js';
import type * as refusals from './refusal.js';
import type * as retryWindows from './retry-windows.js';
import type * as requestQueue from './request-queue.js';

/** What requests are dispatched with. */
export type DispatcherDependencies = {
	readonly fleet: fleetState.FleetState;
	readonly placer: endpointPlacer.EndpointPlacer;
	readonly connections: endpoints.ConnectionPools;
	readonly protocol: ports.EndpointProtocol;
	readonly retryWindows: retryWindows.RetryWindows;
	readonly queue: requestQueue.RequestQueue;
	/** Tells where prompt parts are cached. */
	readonly recordCacheObservations: (signs: readonly core.fleet.CacheObservation[]) => void;
	readonly authorizer: SendAuthorizer;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
	/** Draws a number from 0 up to but not including 1. */
	readonly random: () => number;
};

/** Tells at the moment of sending whether a request may still be sent. */
export type SendAuthorizer = {
	maySend(ctx: requestContext.RoutedRequest): boolean;
};

/** Runs requests at endpoints. */
export class RequestDispatcher {
	readonly #forwarders = new Set<requestForwarder.RequestForwarder>();

	constructor(private readonly dependencies: DispatcherDependencies) {}

	/** Runs a request to its end. @returns A refusal when no answer of an endpoint was passed on. */
	async dispatch(ctx: requestContext.RoutedRequest): Promise<refusals.Refusal | undefined> {
		const forwarder = new requestForwarder.RequestForwarder(ctx, this.dependencies);
		this.#forwarders.add(forwarder);
		try {
			return await forwarder.forward();
		} finally {
			this.#forwarders.delete(forwarder);
		}
	}

	/** Takes requests away from an endpoint that fell silent, as far as they may be repeated. */
	abortSilentAttempts(endpoint: core.fleet.EndpointEntry['id']): void {
		for (const forwarder of this.#forwarders) {
			forwarder.abortSilentAttempt(endpoint);
		}
	}
}
