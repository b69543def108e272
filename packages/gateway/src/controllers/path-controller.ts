import * as net from 'node:net';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import type * as call from '../call/index.js';
import type * as endpoints from '../endpoints/index.js';
import type * as fleetState from '../placement/fleet-state.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';

/** Dependencies of {@link PathController}. */
export type PathControllerDependencies = {
	readonly fleet: Pick<fleetState.FleetState, 'registry' | 'paths' | 'health'>;
	readonly connectors: Pick<endpoints.EndpointConnectors, 'canTunnel' | 'findHelper'>;
	readonly connections: Pick<endpoints.ConnectionPools, 'closeIdle'>;
	readonly dispatcher: Pick<call.RequestDispatcher, 'replaceSilentAttempts' | 'abortInterruptedAttempts'>;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/** Time for opening a connection, in milliseconds; a retransmitted SYN would follow after a second. */
const connectTimeoutMs = 250;

/** Checks the direct paths to endpoints that are suspected or interrupted; meanwhile connections go through other VMs. */
export class PathController {
	constructor(private readonly dependencies: PathControllerDependencies) {}

	/** Starts the checks that are due, and asks other VMs for connections where direct ones have failed. */
	tick(): void {
		const {fleet, connectors, clock} = this.dependencies;
		const listed = fleet.registry.list();
		const now = clock.monotonicNow();
		for (const id of fleet.paths.startDueChecks(listed, now)) {
			void this.#check(fleet.registry.get(id)!);
		}

		for (const id of fleet.paths.listUnconfirmed(listed, now)) {
			const entry = fleet.registry.get(id)!;
			if (connectors.findHelper(entry) !== undefined) {
				fleet.paths.startConfirmation(id, now);
				void this.#confirm(entry);
			}
		}
	}

	/** Checks the direct path to an endpoint. */
	async #check(entry: core.fleet.EndpointEntry): Promise<void> {
		const {fleet, connections, clock, log} = this.dependencies;
		const {id, pool} = entry;
		const outcome = await this.#connect(entry);
		if (fleet.paths.recordCheck(entry, outcome, clock.monotonicNow())) {
			log.write(eventLog.LogEvent.PathRestored, {endpoint: id, pool});
			connections.closeIdle(id);
		}
	}

	async #connect({id, address}: core.fleet.EndpointEntry): Promise<core.fleet.ConnectOutcome> {
		try {
			return await connectOnce(address);
		} catch (err) {
			this.dependencies.log.write(eventLog.LogEvent.InternalError, {task: `path to ${id}`, problem: String(err)});
			return core.fleet.ConnectOutcome.Refused;
		}
	}

	/** Finds out whether an endpoint is reached through another VM. */
	async #confirm(entry: core.fleet.EndpointEntry): Promise<void> {
		const {fleet, connectors, connections, dispatcher, clock, log} = this.dependencies;
		const {id, pool} = entry;
		const isReached = await connectors.canTunnel(entry);
		const now = clock.monotonicNow();
		const silentSince = fleet.paths.silentSince(id, now) ?? now;
		if (!isReached || !fleet.paths.recordConfirmation(id, now)) {
			return;
		}

		const outcome = fleet.paths.getLastOutcome(id) ?? core.fleet.ConnectOutcome.TimedOut;
		log.write(eventLog.LogEvent.PathInterrupted, {
			endpoint: id, pool, outcome, silentMs: Math.round(now - silentSince),
		});
		if (outcome === core.fleet.ConnectOutcome.TimedOut) {
			// Open connections go on where only new ones are refused.
			connections.closeIdle(id);
		}

		fleet.health.forget(id);
		dispatcher.abortInterruptedAttempts();
		dispatcher.replaceSilentAttempts(id);
	}
}

/** Opens a connection and closes it; rejects if the address can't be used. */
async function connectOnce(address: string): Promise<core.fleet.ConnectOutcome> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = net.connect({host, port: Number(port)});
		const timer = new clients.timeouts.InputTimer(connectTimeoutMs, () => {
			end(core.fleet.ConnectOutcome.TimedOut);
		});
		const end = (outcome: core.fleet.ConnectOutcome): void => {
			timer.clear();
			socket.destroy();
			resolve(outcome);
		};

		socket.once('connect', () => {
			end(core.fleet.ConnectOutcome.Open);
		});
		socket.once('error', () => {
			end(core.fleet.ConnectOutcome.Refused);
		});
	});
}
