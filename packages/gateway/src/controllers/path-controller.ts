import * as net from 'node:net';
import type * as core from '@bluebellmast/core';
import type * as call from '../call/index.js';
import type * as endpoints from '../endpoints/index.js';
import type * as fleetState from '../placement/fleet-state.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';

/** Dependencies of {@link PathController}. */
export type PathControllerDependencies = {
	readonly fleet: Pick<fleetState.FleetState, 'registry' | 'paths' | 'health'>;
	readonly connectors: Pick<endpoints.EndpointConnectors, 'canTunnel'>;
	readonly connections: Pick<endpoints.ConnectionPools, 'closeIdle'>;
	readonly dispatcher: Pick<call.RequestDispatcher, 'replaceSilentAttempts' | 'abortInterruptedAttempts'>;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/** How an attempt to connect ended. */
export enum ConnectOutcome {
	Open = 'open',
	/** The connection was refused or reset. */
	Refused = 'refused',
	TimedOut = 'timed_out',
}

/** Time for opening a connection, in milliseconds; a retransmitted SYN would follow after a second. */
const connectTimeoutMs = 250;

/** Checks the direct paths to endpoints that are suspected or interrupted; meanwhile connections go through other VMs. */
export class PathController {
	constructor(private readonly dependencies: PathControllerDependencies) {}

	/** Starts the checks that are due. */
	tick(): void {
		const {fleet, clock} = this.dependencies;
		const listed = fleet.registry.list();
		for (const id of fleet.paths.startDueChecks(listed, clock.monotonicNow())) {
			void this.#check(fleet.registry.get(id)!);
		}
	}

	async #check(entry: core.fleet.EndpointEntry): Promise<void> {
		const {fleet, connectors, clock} = this.dependencies;
		const startedAt = clock.monotonicNow();
		const outcome = await connectOnce(entry.address);
		const now = clock.monotonicNow();
		const isOpen = outcome === ConnectOutcome.Open;
		const silentSince = fleet.paths.silentSince(entry.id, now) ?? startedAt;
		const mayBeInterrupted = !isOpen && !fleet.paths.isInterrupted(entry.id);
		const isReachedByOther = mayBeInterrupted && await connectors.canTunnel(entry);
		if (fleet.paths.recordCheck(entry, isOpen, isReachedByOther, clock.monotonicNow())) {
			this.#handleChange(entry, outcome, Math.round(now - silentSince));
		}
	}

	#handleChange(entry: core.fleet.EndpointEntry, outcome: ConnectOutcome, silentMs: number): void {
		const {fleet, connections, dispatcher, log} = this.dependencies;
		const {id, pool} = entry;
		if (outcome === ConnectOutcome.Open) {
			log.write(eventLog.LogEvent.PathRestored, {endpoint: id, pool});
			connections.closeIdle(id);
			return;
		}

		log.write(eventLog.LogEvent.PathInterrupted, {
			endpoint: id, pool, outcome, silentMs,
		});
		if (outcome === ConnectOutcome.TimedOut) {
			// Open connections go on where only new ones are refused.
			connections.closeIdle(id);
		}

		fleet.health.forget(id);
		dispatcher.abortInterruptedAttempts();
		dispatcher.replaceSilentAttempts(id);
	}
}

/** Opens a connection and closes it. */
async function connectOnce(address: string): Promise<ConnectOutcome> {
	const [host, port] = address.split(':');
	return new Promise(resolve => {
		const socket = net.connect({host, port: Number(port)});
		const timer = setTimeout(() => {
			end(ConnectOutcome.TimedOut);
		}, connectTimeoutMs);
		const end = (outcome: ConnectOutcome): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(outcome);
		};

		socket.once('connect', () => {
			end(ConnectOutcome.Open);
		});
		socket.once('error', () => {
			end(ConnectOutcome.Refused);
		});
	});
}
