import type * as core from '@bluebellmast/core';
import type * as fleetState from '../placement/fleet-state.js';
import type * as clocks from '../util/clocks.js';
import * as connector from './connector.js';

/** Options of {@link EndpointConnectors}. */
export type EndpointConnectorsOptions = {
	readonly fleet: Pick<fleetState.FleetState, 'paths' | 'peerReach' | 'peers'>;
	/** Data centre of this VM. */
	readonly dataCentre: string;
	readonly clock: clocks.Clocks;
	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	readonly random: () => number;
};

/** Time for opening a tunnel, in milliseconds: the other VM gives its own connection up before. */
const tunnelTimeoutMs = 450;

/** Chooses how to connect to endpoints: directly, or through another VM while the direct path is interrupted. */
export class EndpointConnectors {
	constructor(private readonly options: EndpointConnectorsOptions) {}

	/** Whether new connections to an endpoint are direct. */
	isDirect(endpoint: string): boolean {
		return !this.options.fleet.paths.isInterrupted(endpoint);
	}

	/** Creates the connector of a new connection; a direct one if no VM can help. */
	create(entry: core.fleet.EndpointEntry, timeoutMs: number): connector.Connector {
		const target = this.isDirect(entry.id) ? undefined : this.findHelper(entry);
		return target === undefined
			? new connector.DirectConnector(timeoutMs)
			: new connector.TunnelConnector(target, entry, {
				timeoutMs: tunnelTimeoutMs,
				onFailed: err => {
					this.recordFailure(err);
				},
			});
	}

	/** Finds a VM that reaches an endpoint; `undefined` if none is known to. */
	findHelper({id, pool}: core.fleet.PathEnd): core.fleet.HelperVm | undefined {
		const {fleet: {paths, peerReach, peers}, dataCentre, clock, random} = this.options;
		const now = clock.monotonicNow();
		const silentSince = paths.silentSince(id, now) ?? now;
		return peerReach.choose({
			pool, dataCentre, silentSince, receivers: peers.listReceivers(id, silentSince),
		}, random, now);
	}

	/** Returns whether an endpoint can be connected to through another VM. */
	async canTunnel(entry: core.fleet.EndpointEntry): Promise<boolean> {
		const target = this.findHelper(entry);
		if (target === undefined) {
			return false;
		}

		try {
			const socket = await connector.openTunnel(target, entry, tunnelTimeoutMs);
			socket.destroy();
			return true;
		} catch (err) {
			this.recordFailure(err as connector.TunnelError);
			return false;
		}
	}

	/** Records that a VM did not open a connection; unless the endpoint is to blame, others are chosen for a time. */
	recordFailure({helper, isEndpointFault}: connector.TunnelError): void {
		if (!isEndpointFault) {
			this.options.fleet.peerReach.recordFailure(helper, this.options.clock.monotonicNow());
		}
	}
}
