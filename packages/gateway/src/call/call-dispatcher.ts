import type * as core from '@bluebellmast/core';
import type * as endpoints from '../endpoints/index.js';
import type * as endpointPlacer from '../placement/endpoint-placer.js';
import type * as fleetState from '../placement/fleet-state.js';
import type * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';
import type * as eventLog from '../util/event-log.js';
import type * as callContext from './call-context.js';
import * as callRun from './call-run.js';
import type * as refusals from './refusal.js';
import type * as retryWindows from './retry-windows.js';
import type * as waitingRoom from './waiting-room.js';

/** What requests are dispatched with. */
export type DispatchParts = {
	readonly fleet: fleetState.FleetState;
	readonly placer: endpointPlacer.EndpointPlacer;
	readonly connections: endpoints.ConnectionPools;
	readonly protocol: ports.EndpointProtocol;
	readonly retries: retryWindows.RetryWindows;
	readonly waiting: waitingRoom.WaitingRoom;
	/** Tells where prompt parts are cached. */
	readonly noteSigns: (signs: readonly core.fleet.CacheObservation[]) => void;
	readonly trust: CallTrust;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
	/** Draws a number from 0 up to but not including 1. */
	readonly random: () => number;
};

/** Tells at the moment of sending whether a request may still be sent. */
export type CallTrust = {
	maySend(ctx: callContext.RoutedCall): boolean;
};

/** Runs requests at endpoints. */
export class CallDispatcher {
	readonly #runs = new Set<callRun.CallRun>();

	constructor(private readonly parts: DispatchParts) {}

	/** Runs a request to its end. @returns A refusal when no answer of an endpoint was passed on. */
	async dispatch(ctx: callContext.RoutedCall): Promise<refusals.Refusal | undefined> {
		const run = new callRun.CallRun(ctx, this.parts);
		this.#runs.add(run);
		try {
			return await run.run();
		} finally {
			this.#runs.delete(run);
		}
	}

	/** Takes requests away from an endpoint that fell silent, as far as they may be repeated. */
	leaveEndpoint(endpoint: core.fleet.EndpointEntry['id']): void {
		for (const run of this.#runs) {
			run.leaveEndpoint(endpoint);
		}
	}
}
