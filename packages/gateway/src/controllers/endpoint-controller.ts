import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as call from '../call/index.js';
import type * as endpoints from '../endpoints/index.js';
import type * as endpointPauses from '../placement/endpoint-pauses.js';
import type * as fleetState from '../placement/fleet-state.js';
import * as limitLog from '../placement/limit-log.js';
import * as ports from '../ports/index.js';
import * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import * as endpointChecker from './endpoint-checker.js';
import * as invalidEntryLog from './invalid-entry-log.js';
import type * as storeFeed from './store-feed.js';

/** Dependencies of the controller. */
export type EndpointControllerDependencies = {
	readonly decoder: ports.StoreDecoder;
	readonly config: core.routing.ConfigState;
	readonly fleet: fleetState.FleetState;
	readonly pauses: endpointPauses.EndpointPauses;
	readonly connections: endpoints.ConnectionPools;
	/** All connections are direct by default. */
	readonly connectors?: Pick<endpoints.EndpointConnectors, 'isDirect' | 'canTunnel'>;
	readonly dispatcher: call.RequestDispatcher;
	readonly admin: ports.EndpointAdmin;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/** Tracks the endpoints that the store lists, checks those that stop responding, and has requests at unresponsive ones sent to others as well. */
export class EndpointController implements storeFeed.StoreFeedListener {
	readonly #departed = new core.store.DepartedEndpoints();
	/** Whether the next snapshot is the first one after the store returned from a copy. */
	#hasReturned = false;

	readonly #checker: endpointChecker.EndpointChecker;
	readonly #invalid: invalidEntryLog.InvalidEntryLog;

	constructor(private readonly dependencies: EndpointControllerDependencies) {
		this.#checker = new endpointChecker.EndpointChecker(dependencies);
		this.#invalid = new invalidEntryLog.InvalidEntryLog(dependencies.log);
	}

	/**
	 * Keeps what is known of the endpoints while the store may list older entries: the weights that they have loaded, and the endpoints whose entries
	 * are missing, until the time after the return within which they are written again.
	 */
	onReturn(): void {
		const {registry} = this.dependencies.fleet;
		const now = this.dependencies.clock.suspendAwareNow();
		this.#hasReturned = true;
		for (const entry of registry.list()) {
			for (const model of entry.weights.keys()) {
				const version = registry.weightVersion(entry.id, model)!;
				registry.recordObservedWeights(entry.id, entry.bornAt, {model, version}, now);
			}

			registry.put(entry, now);
		}
	}

	onLapse(lapse: core.store.Lapse | undefined): void {
		this.dependencies.fleet.registry.applyLapse(lapse);
	}

	onSnapshot(entries: readonly clients.kv.KvEntry[], {lapse}: storeFeed.ReadContext): void {
		const now = this.dependencies.clock.suspendAwareNow();
		const decoded = entries.map(entry => this.#decode(entry)).filter(entry => entry !== undefined);
		const listed = this.#hasReturned ? decoded.filter(entry => !this.#isHeld(entry, now)).map(entry => this.#keepDraining(entry)) : decoded;
		this.#recordRemovals(listed, lapse);
		this.#hasReturned = false;
		for (const entry of listed) {
			this.#logChange(entry);
		}

		this.dependencies.fleet.registry.replaceAll(listed, lapse, now);
		this.#dropUnlisted();
	}

	onChange(change: clients.kv.KvChange, {lapse, startedAt}: storeFeed.ReadContext): void {
		const {decoder, fleet, clock} = this.dependencies;
		if (change.entry !== undefined) {
			this.#put(change.entry, startedAt);
			return;
		}

		this.#invalid.forget(change.key);
		const id = decoder.endpointIdOf(change.key);
		if (id !== undefined) {
			const known = fleet.registry.get(id);
			this.#departed.release(id);
			if (known !== undefined) {
				this.#recordRemoval(known, lapse);
			}

			fleet.registry.remove(id, lapse, clock.suspendAwareNow());
			this.#dropUnlisted();
		}
	}

	/** Drops endpoints whose entries did not return, starts the health checks that are due, and aborts attempts on outdated weights or at paused endpoints. */
	tick(): void {
		const {fleet, pauses, clock, dispatcher} = this.dependencies;
		const now = clock.suspendAwareNow();
		for (const {id, missingMs} of fleet.registry.takeDropped(now)) {
			this.dependencies.log.write(eventLog.LogEvent.EndpointDropped, {endpoint: id, missingMs: Math.round(missingMs)});
		}

		for (const entry of this.#departed.takeConfirmed(now)) {
			this.#putEntry(entry);
		}

		if (fleet.leaving.size > 0) {
			fleet.leaving.retain(fleet.registry.list(), now);
		}

		pauses.removeEnded(id => fleet.registry.get(id)?.bornAt);
		fleet.limits.removeEnded(id => fleet.registry.get(id)?.bornAt, now);
		limitLog.writeLimitChanges(fleet.limits, this.dependencies.log);
		dispatcher.abortOutdatedAttempts(clocks.readInstant(clock));
		dispatcher.abortPausedAttempts();
		for (const endpoint of fleet.health.startDueChecks(id => fleet.peers.lastReceivedAt(id), clock.monotonicNow(), id => this.#mayCheck(id))) {
			void this.#checkHealth(endpoint);
		}
	}

	/**
	 * Returns whether an endpoint may be checked now. During a pause that it asked for, only one with requests in flight is, since these would
	 * otherwise wait for an endpoint that does not respond. Checks need a permit as callers' requests do where an endpoint limits its requests.
	 */
	#mayCheck(id: string): boolean {
		const {fleet, pauses} = this.dependencies;
		const entry = fleet.registry.get(id);
		if (entry !== undefined && fleet.limits.waitMs(entry, this.dependencies.clock.suspendAwareNow()) > 0) {
			return false;
		}

		return entry === undefined || !pauses.isPaused(entry) || (fleet.loads.countOwnActive(id) > 0 && pauses.mayCallUrgently(entry));
	}

	/** @param writtenAfter - A time after which the entry was certainly written. */
	#put(raw: clients.kv.KvEntry, writtenAfter: number): void {
		const entry = this.#decode(raw);
		if (entry !== undefined) {
			this.#departed.release(entry.id);
			this.#putEntry(entry, writtenAfter);
		}
	}

	#putEntry(entry: core.fleet.EndpointEntry, writtenAfter?: number): void {
		this.#logChange(entry);
		this.dependencies.fleet.registry.put(entry, this.dependencies.clock.suspendAwareNow(), writtenAfter);
	}

	/** Returns whether an entry of a copy is of an endpoint that has left, and is not used for the time being. */
	#isHeld(entry: core.fleet.EndpointEntry, now: number): boolean {
		const isHeld = this.#departed.hold(entry, now);
		if (isHeld) {
			this.dependencies.log.write(eventLog.LogEvent.EndpointHeld, {endpoint: entry.id, bornAt: entry.bornAt});
		}

		return isHeld;
	}

	/** Returns an entry of a copy as draining if its incarnation is known to drain, which it never ceases to do. */
	#keepDraining(entry: core.fleet.EndpointEntry): core.fleet.EndpointEntry {
		const known = this.dependencies.fleet.registry.get(entry.id);
		const isDraining = known?.bornAt === entry.bornAt && known.state === core.fleet.EndpointState.Draining;
		return isDraining ? {...entry, state: core.fleet.EndpointState.Draining} : entry;
	}

	/** Records the endpoints that a snapshot does not list. */
	#recordRemovals(listed: readonly core.fleet.EndpointEntry[], lapse: core.store.Lapse | undefined): void {
		const ids = new Set(listed.map(entry => entry.id));
		for (const entry of this.dependencies.fleet.registry.list()) {
			if (!ids.has(entry.id)) {
				this.#recordRemoval(entry, lapse);
			}
		}
	}

	/**
	 * Records that the entry of an endpoint is missing. Without a lapse the endpoint has left, except where the snapshot of a copy is older than the
	 * endpoint.
	 */
	#recordRemoval(entry: core.fleet.EndpointEntry, lapse: core.store.Lapse | undefined): void {
		const {fleet: {registry}, clock, log} = this.dependencies;
		const now = clock.suspendAwareNow();
		const maybeLapsed = lapse !== undefined && registry.mayHaveExpired(entry.id, lapse);
		if (!maybeLapsed && !this.#hasReturned) {
			this.#departed.recordDeparture(entry, now);
		}

		if (registry.missingMs(entry.id, now) === undefined) {
			log.write(eventLog.LogEvent.EndpointRemoved, {endpoint: entry.id, maybeLapsed});
		}
	}

	#logChange(entry: core.fleet.EndpointEntry): void {
		const {fleet, clock, log} = this.dependencies;
		const registered = fleet.registry.get(entry.id);
		const missingMs = fleet.registry.missingMs(entry.id, clock.suspendAwareNow());
		if (missingMs !== undefined) {
			log.write(eventLog.LogEvent.EndpointRelisted, {endpoint: entry.id, missingMs: Math.round(missingMs)});
		}

		const isNew = registered?.bornAt !== entry.bornAt;
		if (isNew || registered?.state !== entry.state) {
			log.write(eventLog.LogEvent.EndpointChanged, {
				endpoint: entry.id, pool: entry.pool, state: entry.state, bornAt: entry.bornAt,
			});
		}
	}

	#decode(raw: clients.kv.KvEntry): core.fleet.EndpointEntry | undefined {
		const item = this.dependencies.decoder.decode(raw);
		if (item.type === ports.StoreEntryType.Invalid) {
			this.#invalid.recordInvalid(raw.key, item.findings);
		} else {
			this.#invalid.forget(raw.key);
		}

		return item.type === ports.StoreEntryType.Endpoint ? item.entry : undefined;
	}

	async #checkHealth(endpoint: string): Promise<void> {
		const {fleet, clock} = this.dependencies;
		const target = this.#findTarget(endpoint);
		if (target === undefined) {
			return;
		}

		const {connectors} = this.dependencies;
		const isAlive = await (connectors === undefined || connectors.isDirect(endpoint)
			? this.#checker.isAlive(target.entry, target.pool)
			: connectors.canTunnel(target.entry));
		const hasChanged = fleet.health.recordCheck(endpoint, isAlive, clock.monotonicNow());
		const isResponsive = fleet.health.isResponsive(endpoint);
		if (hasChanged) {
			this.#handleHealthChange(endpoint, isResponsive);
		}

		if (!isResponsive) {
			// After each failed check, since the retry budget or the capacity of other endpoints may not have sufficed before.
			this.dependencies.dispatcher.replaceSilentAttempts(endpoint);
		}
	}

	/** Finds what a check needs, for endpoints with requests in progress also after their entry or their pool has been removed. */
	#findTarget(endpoint: string): call.AttemptTarget | undefined {
		const {fleet, config, dispatcher} = this.dependencies;
		const entry = fleet.registry.get(endpoint);
		const pool = entry && config.table?.findPool(entry.pool);
		return entry && pool ? {entry, pool} : dispatcher.findTarget(endpoint);
	}

	#handleHealthChange(endpoint: string, isResponsive: boolean): void {
		const {connections, log} = this.dependencies;
		log.write(isResponsive ? eventLog.LogEvent.EndpointResponsive : eventLog.LogEvent.EndpointUnresponsive, {endpoint});
		if (!isResponsive) {
			connections.closeIdle(endpoint);
		}
	}

	#dropUnlisted(): void {
		const {fleet, connections} = this.dependencies;
		const listed = new Set(fleet.registry.list().map(entry => entry.id));
		fleet.paths.retain(listed);
		fleet.health.retain(listed);
		fleet.loads.retain(listed);
		connections.retain(listed);
	}
}
