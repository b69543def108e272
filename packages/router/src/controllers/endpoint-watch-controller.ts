import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import createDebug from 'debug';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';

const debug = createDebug('bluebellmast:endpoints');
const messageType = wire.peer.PeerMessageType;

/** An endpoint with its last load report. */
export type WatchedEndpoint = core.endpoints.EndpointState<wire.endpoint.LoadReport>;

/** Options of the watch over endpoints. */
export type EndpointWatchOptions = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly network: peerNetwork.PeerNetwork;
	readonly clock: clock.Clock;
	readonly manifest: () => core.model.Manifest | undefined;
	readonly liveMembers: () => readonly core.model.VmId[];
	/** Reads `GET /v1/load` of an endpoint; `undefined` when it does not answer in time. */
	readonly readLoad: (endpoint: core.model.Endpoint) => Promise<wire.endpoint.LoadReport | undefined>;
	/** IP numbers of VMs that the platform is about to remove. Default: none. */
	readonly leavingHosts?: () => ReadonlySet<string>;
	/** Is told of each report that is newer than what was known, and of each change of the other fields. */
	readonly onState?: (state: WatchedEndpoint) => void;
	readonly metrics?: metrics.Metrics;
	/** Milliseconds between reads of an endpoint. Default 500. */
	readonly pollMs?: number;
	/** Polls between digests and repeated notices. Default 2. */
	readonly pollsPerDigest?: number;
	/** Loads in one digest. Default 16. */
	readonly loadsPerDigest?: number;
	readonly limits?: core.endpoints.WatchLimits;
};

/** Milliseconds for which the leader's last word is repeated. */
const drainingMs = 2000;

const defaults = {
	pollMs: 500, pollsPerDigest: 4, loadsPerDigest: 16, limits: core.endpoints.defaultWatchLimits,
};

/**
 * Knows how the endpoints are: in a small fleet each router reads each endpoint, in a large one two routers read each and
 * spread what they read. Notices of leaving and draining go to all routers at once.
 */
export class EndpointWatchController implements controller.Controller {
	private readonly cfg: EndpointWatchOptions & typeof defaults;
	private readonly table = new core.endpoints.EndpointTable<wire.endpoint.LoadReport>();
	/** Endpoints whose newest report is still to be passed on. */
	private readonly unsent = new Set<core.model.EndpointId>();
	/** Last notice of each origin. */
	private readonly seenNotices = new Map<core.model.Incarnation, number>();
	private readonly told = new Map<core.model.EndpointId, string>();
	/** Who drains, while this router leads. */
	private ownDraining: wire.peer.EndpointNotice['draining'];
	private ownDrainingAt = 0;
	private readonly reading = new Set<core.model.EndpointId>();
	private sequence: number;
	private polls = 0;
	private timer: NodeJS.Timeout | undefined;
	private polled = false;
	private watched: {key: string; endpoints: ReadonlySet<core.model.EndpointId>} | undefined;

	constructor(options: EndpointWatchOptions) {
		this.cfg = {...defaults, ...options};
		this.sequence = options.clock.now();
		options.network.on(messageType.EndpointNotice, (_, message) => {
			this.takeNotice(message);
		});
		options.network.on(messageType.LoadDigest, (_, message) => {
			this.takeDigest(message);
		});
	}

	/** Whether each endpoint that this router reads was read at least once. */
	get hasPolled(): boolean {
		return this.polled;
	}

	async start(): Promise<void> {
		this.timer = setInterval(() => {
			void this.tick();
		}, this.cfg.pollMs);
		await this.tick();
	}

	async stop(): Promise<void> {
		clearInterval(this.timer);
	}

	/** What is known of each endpoint of the manifest; `leaving` covers all sources. */
	endpointStates(): readonly WatchedEndpoint[] {
		const now = this.cfg.clock.now();
		const hosts = this.cfg.leavingHosts?.() ?? new Set<string>();
		return (this.cfg.manifest()?.endpoints ?? []).map(endpoint => {
			const state = this.table.stateOf(endpoint.id, now);
			return {...state, leaving: state.leaving || endpoint.leaving || hosts.has(endpoint.host)};
		});
	}

	/** Tells all routers which engines are to get no new requests; called by the leader each round. */
	announceDraining(fencing: number, endpoints: readonly core.model.EndpointId[]): void {
		const before = this.ownDraining;
		this.ownDraining = {fencing, endpoints};
		this.ownDrainingAt = this.cfg.clock.now();
		this.table.applyDrainingList(fencing, endpoints, this.ownDrainingAt);
		const isNew = before?.fencing !== fencing || before.endpoints.join(' ') !== endpoints.join(' ');
		if (isNew) {
			this.sendNotice();
		}

		this.tellChanges();
	}

	/** Reads the endpoints that are this router's to read, and passes news on. */
	async tick(): Promise<void> {
		const manifest = this.cfg.manifest();
		if (manifest === undefined) {
			return;
		}

		const ids = manifest.endpoints.map(endpoint => endpoint.id);
		this.table.retain(new Set(ids));
		const watched = this.watchedOf(ids);
		this.polls += 1;
		if (this.polls % this.cfg.pollsPerDigest === 0) {
			this.sendDigest();
			this.sendNotice();
		}

		await Promise.all(manifest.endpoints
			.filter(endpoint => watched.has(endpoint.id))
			.map(async endpoint => this.read(endpoint)));
		this.polled = true;
		this.tellChanges();
	}

	private watchedOf(endpoints: readonly core.model.EndpointId[]): ReadonlySet<core.model.EndpointId> {
		const members = this.cfg.liveMembers();
		const key = `${members.join(' ')}|${endpoints.join(' ')}`;
		if (this.watched?.key !== key) {
			const list = core.endpoints.chooseWatchedEndpoints(this.cfg.vm, members, endpoints, this.cfg.limits);
			this.watched = {key, endpoints: new Set(list)};
		}

		return this.watched.endpoints;
	}

	private async read(endpoint: core.model.Endpoint): Promise<void> {
		if (this.reading.has(endpoint.id)) {
			return;
		}

		const at = this.cfg.clock.now();
		this.reading.add(endpoint.id);
		const report = await this.cfg.readLoad(endpoint);
		this.reading.delete(endpoint.id);
		this.table.recordRead(endpoint.id, report !== undefined);
		if (report === undefined) {
			this.cfg.metrics?.increment('endpoints.unread');
			return;
		}

		const wasLeaving = this.table.stateOf(endpoint.id, at).leaving;
		this.takeReport(endpoint.id, report, at);
		if (report.leaving && !wasLeaving) {
			debug('%s is leaving', endpoint.id);
			this.sendNotice();
		}
	}

	private takeReport(endpoint: core.model.EndpointId, report: wire.endpoint.LoadReport, at: number): void {
		if (this.table.applyReport(endpoint, report, at)) {
			this.unsent.add(endpoint);
			this.told.delete(endpoint);
		}
	}

	/** In a large fleet, passes on reports that are new to this router. */
	private sendDigest(): void {
		const now = this.cfg.clock.now();
		if (this.cfg.liveMembers().length <= this.cfg.limits.maxRoutersReadingAll) {
			this.unsent.clear();
			return;
		}

		const loads: wire.peer.EndpointLoad[] = [];
		for (const endpoint of [...this.unsent].slice(0, this.cfg.loadsPerDigest)) {
			this.unsent.delete(endpoint);
			const {report, at} = this.table.stateOf(endpoint, now);
			if (report !== undefined) {
				loads.push({endpoint, report, ageMs: now - at});
			}
		}

		if (loads.length > 0) {
			const digest: wire.peer.LoadDigest = {type: messageType.LoadDigest, loads};
			this.cfg.network.broadcast(digest);
		}
	}

	private takeDigest(message: peerNetwork.PeerMessage): void {
		if (!wire.peer.isLoadDigest(message)) {
			return;
		}

		const now = this.cfg.clock.now();
		for (const {endpoint, report, ageMs} of message.loads) {
			this.takeReport(endpoint, report, now - ageMs);
		}

		this.tellChanges();
	}

	/** Tells all routers what this one has seen to be leaving, and who drains while it leads. */
	private sendNotice(): void {
		const now = this.cfg.clock.now();
		const leaving = (this.cfg.manifest()?.endpoints ?? [])
			.map(endpoint => this.table.stateOf(endpoint.id, now))
			.filter(state => state.report?.leaving)
			.map(state => ({endpoint: state.endpoint, incarnation: state.incarnation!}));
		if (now - this.ownDrainingAt > drainingMs) {
			this.ownDraining = undefined;
		}

		if (leaving.length === 0 && this.ownDraining === undefined) {
			return;
		}

		this.sequence += 1;
		const notice: wire.peer.EndpointNotice = {
			type: messageType.EndpointNotice,
			origin: this.cfg.incarnation,
			sequence: this.sequence,
			leaving,
			...(this.ownDraining !== undefined && {draining: this.ownDraining}),
		};
		this.cfg.network.broadcast(notice);
	}

	private takeNotice(message: peerNetwork.PeerMessage): void {
		if (!wire.peer.isEndpointNotice(message) || message.origin === this.cfg.incarnation
			|| message.sequence <= (this.seenNotices.get(message.origin) ?? 0)) {
			return;
		}

		this.seenNotices.delete(message.origin);
		this.seenNotices.set(message.origin, message.sequence);
		this.forgetOldOrigins();
		const now = this.cfg.clock.now();
		for (const {endpoint, incarnation} of message.leaving) {
			this.table.applyLeavingNotice(endpoint, incarnation, now);
		}

		if (message.draining !== undefined) {
			this.table.applyDrainingList(message.draining.fencing, message.draining.endpoints, now);
		}

		if (this.cfg.liveMembers().length > this.cfg.limits.maxRoutersReadingAll) {
			this.cfg.network.broadcast(message);
		}

		this.tellChanges();
	}

	private forgetOldOrigins(): void {
		if (this.seenNotices.size > 1024) {
			const [oldest] = this.seenNotices.keys();
			this.seenNotices.delete(oldest!);
		}
	}

	private tellChanges(): void {
		if (this.cfg.onState === undefined) {
			return;
		}

		for (const state of this.endpointStates()) {
			const {leaving, draining, reachable, report} = state;
			const key = `${leaving} ${draining} ${reachable} ${report?.incarnation} ${report?.sequence}`;
			if (this.told.get(state.endpoint) !== key) {
				this.told.set(state.endpoint, key);
				this.cfg.onState(state);
			}
		}
	}
}
