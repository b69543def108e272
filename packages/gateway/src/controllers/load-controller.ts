import type * as core from '@bluebellmast/core';
import type * as peers from '../peers/index.js';
import type * as fleetState from '../placement/fleet-state.js';
import type * as clocks from '../util/clocks.js';
import type * as dutyController from './duty-controller.js';

/** What the controller works with. */
export type LoadControllerParts = {
	readonly vm: string;
	readonly fleet: fleetState.FleetState;
	readonly duties: dutyController.DutyController;
	readonly exchange: peers.LoadExchange;
	readonly clock: clocks.Clocks;
};

/** Tells the other VMs what this one has under way at each endpoint. */
export class LoadController {
	#sequence = Date.now();
	#wasIdle = false;

	constructor(private readonly parts: LoadControllerParts) {}

	/** Sends a digest; an idle VM sends one and then rests. */
	tick(): void {
		const {vm, exchange, duties} = this.parts;
		const endpoints = this.#describe();
		const isIdle = endpoints.length === 0;
		if (isIdle && this.#wasIdle) {
			return;
		}

		this.#wasIdle = isIdle;
		this.#sequence += 1;
		exchange.send({vm, sequence: this.#sequence, endpoints}, duties.peerAddresses(vm));
	}

	#describe(): core.fleet.EndpointDigest[] {
		const {fleet, clock} = this.parts;
		const now = clock.steadyNow();
		return fleet.loads.busyEndpoints().map(endpoint => {
			const heardAt = fleet.health.heardAt(endpoint);
			return {
				endpoint,
				active: fleet.loads.ownActive(endpoint),
				prefillTokens: fleet.loads.prefillTokens(endpoint),
				heardAgoMs: Number.isFinite(heardAt) ? Math.round(now - heardAt) : undefined,
			};
		});
	}
}
