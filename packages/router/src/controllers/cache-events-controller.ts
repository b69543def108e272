import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import type * as undici from 'undici';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import * as cacheEventFollower from './cache-event-follower.js';
import type * as controller from './controller.js';

/** Options of the cache events controller. */
export type CacheEventsControllerOptions = {
	readonly vm: core.model.VmId;
	/** Placement state whose cache index is updated. */
	readonly state: core.placement.PlacementState;
	/** Live routers, including this one. */
	readonly liveMembers: () => readonly core.model.VmId[];
	readonly manifest: () => core.model.Manifest | undefined;
	readonly dispatcher: () => undici.Dispatcher;
	readonly peers: peerNetwork.PeerNetwork;
	readonly clock: clock.Clock;
	readonly metrics: metrics.Metrics;
	/** Limits for the assignment of engines to routers; see `core.cache.chooseFollowedEngines`. */
	readonly followPlan?: core.cache.FollowPlanOptions;
	/** Milliseconds between checks of the members and the manifest for changes. Default 1000. */
	readonly planIntervalMs?: number;
	/** Milliseconds between digests, which are sent only if not every router follows every engine. Default 10000. */
	readonly digestIntervalMs?: number;
	/** Milliseconds without received data after which a connection is replaced. Default 5000. */
	readonly progressTimeoutMs?: number;
	/** Milliseconds before reconnecting to an engine. Default 500. */
	readonly reconnectDelayMs?: number;
};

const changeByEventType: Readonly<Record<wire.endpoint.CacheEventType, core.cache.CacheChange>> = {
	[wire.endpoint.CacheEventType.Stored]: core.cache.CacheChange.Stored,
	[wire.endpoint.CacheEventType.Evicted]: core.cache.CacheChange.Evicted,
	[wire.endpoint.CacheEventType.Cleared]: core.cache.CacheChange.Cleared,
};

/**
 * Updates the cache index: follows the events of the engines that are assigned to this router, and broadcasts digests
 * of hot prompt pieces if the fleet is too large for every router to follow every engine.
 */
export class CacheEventsController implements controller.Controller {
	readonly #options: CacheEventsControllerOptions;
	readonly #followers = new Map<core.model.EndpointId, cacheEventFollower.CacheEventFollower>();
	readonly #addresses = new Map<core.model.EndpointId, string>();
	#plannedInputs = '';
	#planTimer: NodeJS.Timeout | undefined;
	#digestTimer: NodeJS.Timeout | undefined;

	constructor(options: CacheEventsControllerOptions) {
		this.#options = options;
		options.peers.on(wire.peer.PeerMessageType.CacheDigest, (_, message) => {
			this.#applyDigest(message as wire.peer.CacheDigest);
		});
	}

	/** Engines that this router currently follows. */
	get followedEngines(): readonly core.model.EndpointId[] {
		return [...this.#followers.keys()];
	}

	async start(): Promise<void> {
		this.#updateFollowers();
		this.#planTimer = setInterval(() => {
			this.#updateFollowers();
		}, this.#options.planIntervalMs ?? 1000);
		this.#digestTimer = setInterval(() => {
			this.#broadcastDigest();
		}, this.#digestIntervalMs);
	}

	async stop(): Promise<void> {
		clearInterval(this.#planTimer);
		clearInterval(this.#digestTimer);
		for (const name of this.followedEngines) {
			this.#unfollow(name);
		}
	}

	get #digestIntervalMs(): number {
		return this.#options.digestIntervalMs ?? 10_000;
	}

	#listEngines(): core.model.Endpoint[] {
		const manifest = this.#options.manifest();
		const services = new Set(manifest?.services
			.filter(service => service.type === core.model.ServiceType.Engine)
			.map(service => service.id));
		return manifest?.endpoints.filter(endpoint => services.has(endpoint.service)) ?? [];
	}

	/** Starts and stops followers as the current plan requires; does nothing while members and engines are unchanged. */
	#updateFollowers(): void {
		const members = [...this.#options.liveMembers()].sort();
		this.#options.state.loads.setRouters(members.length);
		const engines = this.#listEngines();
		const inputs = JSON.stringify([members, engines.map(engine => [engine.id, engine.host, engine.port])]);
		if (inputs === this.#plannedInputs) {
			return;
		}

		this.#plannedInputs = inputs;
		const engineIds = engines.map(engine => engine.id);
		const wantedIds = new Set(core.cache.chooseFollowedEngines(this.#options.vm, members, engineIds, this.#options.followPlan));
		for (const name of this.followedEngines) {
			const engine = engines.find(candidate => candidate.id === name);
			if (!wantedIds.has(name) || engine === undefined || formatHostAndPort(engine) !== this.#addresses.get(name)) {
				this.#unfollow(name);
			}
		}

		for (const engine of engines.filter(candidate => wantedIds.has(candidate.id) && !this.#followers.has(candidate.id))) {
			this.#follow(engine);
		}

		this.#options.metrics.gauge('cache.followed_engines', this.#followers.size);
	}

	#follow(endpoint: core.model.Endpoint): void {
		const {cacheIndex} = this.#options.state;
		const follower = new cacheEventFollower.CacheEventFollower({
			endpoint,
			dispatcher: this.#options.dispatcher,
			progressTimeoutMs: this.#options.progressTimeoutMs ?? 5000,
			reconnectDelayMs: this.#options.reconnectDelayMs ?? 500,
			lastSequence() {
				const incarnation = cacheIndex.incarnationOf(endpoint.id);
				return incarnation === undefined ? undefined : cacheIndex.lastSequence(endpoint.id, incarnation);
			},
			onEvent: event => {
				this.#applyEvent(endpoint.id, event);
			},
			onDisconnect: () => {
				this.#options.metrics.increment('cache.event_stream_ended');
			},
		});
		this.#followers.set(endpoint.id, follower);
		this.#addresses.set(endpoint.id, formatHostAndPort(endpoint));
		follower.start();
	}

	#unfollow(engine: core.model.EndpointId): void {
		this.#followers.get(engine)?.stop();
		this.#followers.delete(engine);
		this.#addresses.delete(engine);
		// From now on events of this engine are not received.
		this.#options.state.cacheIndex.markGap(engine);
	}

	#applyEvent(endpoint: core.model.EndpointId, event: wire.endpoint.CacheEvent): void {
		const outcome = this.#options.state.cacheIndex.applyEvent(endpoint, {
			incarnation: event.incarnation,
			sequence: event.sequence,
			change: changeByEventType[event.type],
			key: event.key,
		});
		this.#options.metrics.increment(`cache.event_${outcome}`);
	}

	#broadcastDigest(): void {
		const members = this.#options.liveMembers().length;
		if (core.cache.followsAllEngines(members, this.#listEngines().length, this.#options.followPlan)) {
			return;
		}

		const limit = core.cache.maxDigestKeysFor(members, {intervalMs: this.#digestIntervalMs});
		const holdings = this.#options.state.listHoldings(this.followedEngines, limit, this.#options.clock.now());
		const message: wire.peer.CacheDigest = {
			type: wire.peer.PeerMessageType.CacheDigest,
			engines: holdings.map(({endpoint, incarnation, keys}) => ({
				endpoint, incarnation, keys: wire.peer.packKeys(keys),
			})),
		};
		this.#options.peers.broadcast(message);
	}

	#applyDigest(message: wire.peer.CacheDigest): void {
		for (const {endpoint, incarnation, keys} of message.engines) {
			if (!this.#followers.has(endpoint)) {
				this.#options.state.cacheIndex.applyDigest(endpoint, incarnation, wire.peer.unpackKeys(keys));
			}
		}
	}
}

function formatHostAndPort(endpoint: core.model.Endpoint): string {
	return `${endpoint.host}:${endpoint.port}`;
}
