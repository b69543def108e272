import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as call from '../call/index.js';
import type * as endpoints from '../endpoints/index.js';
import type * as fleetState from '../placement/fleet-state.js';
import * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as storeFeed from './store-feed.js';

/** What the controller works with. */
export type EndpointControllerParts = {
	readonly decoder: ports.StoreDecoder;
	readonly config: core.routing.ConfigState;
	readonly fleet: fleetState.FleetState;
	readonly connections: endpoints.ConnectionPools;
	readonly dispatcher: call.RequestDispatcher;
	readonly admin: ports.EndpointAdmin;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
};

/** Follows the listed endpoints, and leaves those that stop to answer until a check finds them alive. */
export class EndpointController implements storeFeed.FeedListener {
	constructor(private readonly parts: EndpointControllerParts) {}

	onSnapshot(entries: readonly clients.kv.KvEntry[], maybeLapsed: boolean): void {
		const listed = entries.map(entry => this.#decode(entry)).filter(entry => entry !== undefined);
		for (const entry of listed) {
			this.#noteIncarnation(entry);
		}

		this.parts.fleet.registry.replaceAll(listed, maybeLapsed, this.parts.clock.monotonicNow());
		this.#retain();
	}

	onChange(change: clients.kv.KvChange, maybeLapsed: boolean): void {
		const {decoder, fleet, clock, log} = this.parts;
		if (change.entry !== undefined) {
			this.#put(change.entry);
			return;
		}

		const id = decoder.endpointIdOf(change.key);
		if (id !== undefined) {
			log.write(eventLog.LogEvent.EndpointRemoved, {endpoint: id, maybeLapsed});
			fleet.registry.remove(id, maybeLapsed, clock.monotonicNow());
			this.#retain();
		}
	}

	/** Drops entries that did not return, and checks endpoints that fell silent. */
	tick(): void {
		const {fleet, clock} = this.parts;
		const now = clock.monotonicNow();
		fleet.registry.removeExpired(now);
		for (const endpoint of fleet.health.startDueChecks(id => fleet.peers.lastReceivedAt(id), now)) {
			void this.#check(endpoint);
		}
	}

	#put(raw: clients.kv.KvEntry): void {
		const entry = this.#decode(raw);
		if (entry === undefined) {
			return;
		}

		this.#noteIncarnation(entry);
		this.parts.fleet.registry.put(entry, this.parts.clock.monotonicNow());
	}

	#noteIncarnation(entry: core.fleet.EndpointEntry): void {
		const known = this.parts.fleet.registry.get(entry.id);
		const isNew = known?.bornAt !== entry.bornAt;
		if (isNew || known?.state !== entry.state) {
			this.parts.log.write(eventLog.LogEvent.EndpointChanged, {
				endpoint: entry.id, pool: entry.pool, state: entry.state, bornAt: entry.bornAt,
			});
		}
	}

	#decode(raw: clients.kv.KvEntry): core.fleet.EndpointEntry | undefined {
		const item = this.parts.decoder.decode(raw);
		if (item.type === ports.StoreItemType.Invalid) {
			this.parts.log.write(eventLog.LogEvent.StoreEntryInvalid, {key: raw.key, findings: item.findings.join('; ')});
		}

		return item.type === ports.StoreItemType.Endpoint ? item.entry : undefined;
	}

	async #check(endpoint: string): Promise<void> {
		const {fleet, config, admin, clock} = this.parts;
		const entry = fleet.registry.get(endpoint);
		const pool = entry === undefined ? undefined : config.table?.findPool(entry.pool);
		if (entry === undefined || pool === undefined) {
			return;
		}

		const isAlive = pool.engine === undefined ? await admin.isAlive(entry, pool) : await this.#readEngine(entry);
		if (fleet.health.noteCheck(endpoint, isAlive, clock.monotonicNow())) {
			this.#noteChange(endpoint, isAlive);
		}
	}

	/** Reads an engine's report. @returns Whether this incarnation of it answered. */
	async #readEngine(entry: core.fleet.EndpointEntry): Promise<boolean> {
		const answer = await this.parts.admin.readReport(entry);
		const report = answer.toMaybe().extract();
		if (report === undefined || (report.bornAt !== 0 && report.bornAt !== entry.bornAt)) {
			return false;
		}

		for (const [model, version] of report.weights) {
			this.parts.fleet.registry.noteObservedWeights(entry.id, entry.bornAt, {model, version}, this.parts.clock.monotonicNow());
		}

		return true;
	}

	#noteChange(endpoint: string, isAlive: boolean): void {
		const {connections, dispatcher, log} = this.parts;
		log.write(isAlive ? eventLog.LogEvent.EndpointResponsive : eventLog.LogEvent.EndpointUnresponsive, {endpoint});
		if (!isAlive) {
			connections.dropIdle(endpoint);
			dispatcher.abortSilentAttempts(endpoint);
		}
	}

	#retain(): void {
		const {fleet, connections} = this.parts;
		const listed = new Set(fleet.registry.list().map(entry => entry.id));
		fleet.health.retain(listed);
		fleet.loads.retain(listed);
		connections.retain(listed);
	}
}
