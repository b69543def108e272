import * as core from '@bluebellmast/core';
import * as wire from '@bluebellmast/wire';
import createDebug from 'debug';
import type * as peerNetwork from '../peers/peer-network.js';
import type * as clock from '../util/clock.js';
import type * as metrics from '../util/metrics.js';
import type * as controller from './controller.js';

const debug = createDebug('bluebellmast:endpoints');
const messageType = wire.peer.PeerMessageType;

/** State of an endpoint with its last load report. */
export type WatchedEndpoint = core.endpoints.EndpointState<wire.endpoint.LoadReport>;

/** Options of the endpoint watch. */
export type EndpointWatchOptions = {
	readonly vm: core.model.VmId;
	readonly incarnation: core.model.Incarnation;
	readonly peers: peerNetwork.PeerNetwork;
	readonly clock: clock.Clock;
	readonly manifest: () => core.model.Manifest | undefined;
	readonly liveMembers: () => readonly core.model.VmId[];
	/** Requests `GET /v1/load` from an endpoint; resolves to `undefined` if it does not respond in time. */
	readonly readLoad: (endpoint: core.model.Endpoint) => Promise<wire.endpoint.LoadReport | undefined>;
	/** IP addresses of VMs that the platform is about to remove. Default: none. */
	readonly leavingHosts?: () => ReadonlySet<string>;
	/** Called for each report that is newer than the known one, and for each change of the other fields. */
	readonly onStateChange?: (state: WatchedEndpoint) => void;
	readonly metrics?: metrics.Metrics;
	/** Milliseconds between reads of an endpoint. Default 500. */
	readonly pollMs?: number;
	/** Number of polls between digests, and between repeated notices. Default 4. */
	readonly pollsPerDigest?: number;
	/** Maximum number of load reports in one digest. Default 16. */
	readonly maxLoadsPerDigest?: number;
	readonly limits?: core.endpoints.WatchLimits;
};

/** Milliseconds for which the leader's last list of draining engines is repeated. */
const drainingRepeatMs = 2000;

const defaults = {
	pollMs: 500, pollsPerDigest: 4, maxLoadsPerDigest: 16, limits: core.endpoints.defaultWatchLimits,
};

/**
 * Tracks the state of the endpoints. In a small fleet each router reads each endpoint; in a large one each endpoint is read by two
 * routers (by default), which broadcast its reports. Notices that an endpoint is leaving or draining are broadcast immediately.
 */
export class EndpointWatchController implements controller.Controller {
	private readonly options: EndpointWatchOptions & typeof defaults;
	private readonly table = new core.endpoints.EndpointTable<wire.endpoint.LoadReport>();
	/** Endpoints whose newest report was not broadcast yet. */
	private readonly unsentReports = new Set<core.model.EndpointId>();
	/** Sequence number of the last notice from each router incarnation. */
	private readonly lastNoticeSequences = new Map<core.model.Incarnation, number>();
	/** Last state of each endpoint that `onStateChange` was called with, as a comparison key. */
	private readonly notifiedStates = new Map<core.model.EndpointId, string>();
	/** Engines that this router announced as draining while it is the leader. */
	private announcedDraining: wire.peer.EndpointNotice['draining'];
	private announcedDrainingAt = 0;
	private readonly pendingReads = new Set<core.model.EndpointId>();
	private noticeSequence: number;
	private pollCount = 0;
	private timer: NodeJS.Timeout | undefined;
	private isFirstPollDone = false;
	private watchPlan: {key: string; endpoints: ReadonlySet<core.model.EndpointId>} | undefined;

	constructor(options: EndpointWatchOptions) {
		this.options = {...defaults, ...options};
		this.noticeSequence = options.clock.now();
		options.peers.on(messageType.EndpointNotice, (_, message) => {
			this.handleNotice(message);
		});
		options.peers.on(messageType.LoadDigest, (_, message) => {
			this.handleDigest(message);
		});
	}

	/** Whether each endpoint that is assigned to this router was polled at least once. */
	get hasPolled(): boolean {
		return this.isFirstPollDone;
	}

	async start(): Promise<void> {
		this.timer = setInterval(() => {
			void this.tick();
		}, this.options.pollMs);
		await this.tick();
	}

	async stop(): Promise<void> {
		clearInterval(this.timer);
	}

	/** Returns the state of each endpoint in the manifest; `leaving` combines all sources, including manifest and platform. */
	endpointStates(): readonly WatchedEndpoint[] {
		const now = this.options.clock.now();
		const hosts = this.options.leavingHosts?.() ?? new Set<string>();
		return (this.options.manifest()?.endpoints ?? []).map(endpoint => {
			const state = this.table.stateOf(endpoint.id, now);
			return {...state, leaving: state.leaving || endpoint.leaving || hosts.has(endpoint.host)};
		});
	}

	/** Announces to all routers which engines must not get new requests; called by the leader in each round. */
	announceDraining(fencing: number, endpoints: readonly core.model.EndpointId[]): void {
		const previous = this.announcedDraining;
		this.announcedDraining = {fencing, endpoints};
		this.announcedDrainingAt = this.options.clock.now();
		this.table.applyDrainingList(fencing, endpoints, this.announcedDrainingAt);
		const isNew = previous?.fencing !== fencing || previous.endpoints.join(' ') !== endpoints.join(' ');
		if (isNew) {
			this.broadcastNotice();
		}

		this.notifyStateChanges();
	}

	/** Reads the endpoints that are assigned to this router, and broadcasts what is new. */
	async tick(): Promise<void> {
		const manifest = this.options.manifest();
		if (manifest === undefined) {
			return;
		}

		const ids = manifest.endpoints.map(endpoint => endpoint.id);
		this.retainListed(new Set(ids));
		const watched = this.updateWatchPlan(ids);
		this.pollCount += 1;
		if (this.pollCount % this.options.pollsPerDigest === 0) {
			this.broadcastDigest();
			this.broadcastNotice();
		}

		await Promise.all(manifest.endpoints
			.filter(endpoint => watched.has(endpoint.id))
			.map(async endpoint => this.readEndpoint(endpoint)));
		this.isFirstPollDone = true;
		this.notifyStateChanges();
	}

	/** Removes what is known of endpoints that are no longer in the manifest. */
	private retainListed(listed: ReadonlySet<core.model.EndpointId>): void {
		this.table.retain(listed);
		for (const endpoint of this.unsentReports) {
			if (!listed.has(endpoint)) {
				this.unsentReports.delete(endpoint);
			}
		}

		for (const endpoint of this.notifiedStates.keys()) {
			if (!listed.has(endpoint)) {
				this.notifiedStates.delete(endpoint);
			}
		}
	}

	private updateWatchPlan(endpoints: readonly core.model.EndpointId[]): ReadonlySet<core.model.EndpointId> {
		const members = this.options.liveMembers();
		const key = `${members.join(' ')}|${endpoints.join(' ')}`;
		if (this.watchPlan?.key !== key) {
			const list = core.endpoints.chooseWatchedEndpoints(this.options.vm, members, endpoints, this.options.limits);
			this.watchPlan = {key, endpoints: new Set(list)};
		}

		return this.watchPlan.endpoints;
	}

	private async readEndpoint(endpoint: core.model.Endpoint): Promise<void> {
		if (this.pendingReads.has(endpoint.id)) {
			return;
		}

		const at = this.options.clock.now();
		this.pendingReads.add(endpoint.id);
		const report = await this.options.readLoad(endpoint);
		this.pendingReads.delete(endpoint.id);
		this.table.recordRead(endpoint.id, report !== undefined);
		if (report === undefined) {
			this.options.metrics?.increment('endpoints.unread');
			return;
		}

		const wasLeaving = this.table.stateOf(endpoint.id, at).leaving;
		this.applyReport(endpoint.id, report, at);
		if (report.leaving && !wasLeaving) {
			debug('%s is leaving', endpoint.id);
			this.broadcastNotice();
		}
	}

	private applyReport(endpoint: core.model.EndpointId, report: wire.endpoint.LoadReport, at: number): void {
		if (this.table.applyReport(endpoint, report, at)) {
			this.unsentReports.add(endpoint);
			this.notifiedStates.delete(endpoint);
		}
	}

	/** Broadcasts reports that were not broadcast yet; only in a large fleet. */
	private broadcastDigest(): void {
		const now = this.options.clock.now();
		if (this.options.liveMembers().length <= this.options.limits.maxRoutersReadingAll) {
			this.unsentReports.clear();
			return;
		}

		const loads: wire.peer.EndpointLoad[] = [];
		for (const endpoint of [...this.unsentReports].slice(0, this.options.maxLoadsPerDigest)) {
			this.unsentReports.delete(endpoint);
			const {report, at} = this.table.stateOf(endpoint, now);
			if (report !== undefined) {
				loads.push({endpoint, report, ageMs: now - at});
			}
		}

		if (loads.length > 0) {
			const digest: wire.peer.LoadDigest = {type: messageType.LoadDigest, loads};
			this.options.peers.broadcast(digest);
		}
	}

	private handleDigest(message: peerNetwork.PeerMessage): void {
		if (!wire.peer.isLoadDigest(message)) {
			return;
		}

		const now = this.options.clock.now();
		for (const {endpoint, report, ageMs} of message.loads) {
			this.applyReport(endpoint, report, now - ageMs);
		}

		this.notifyStateChanges();
	}

	/** Broadcasts which endpoints have reported that they are leaving and, from the leader, which engines are draining. */
	private broadcastNotice(): void {
		const now = this.options.clock.now();
		const leaving = (this.options.manifest()?.endpoints ?? [])
			.map(endpoint => this.table.stateOf(endpoint.id, now))
			.filter(state => state.report?.leaving)
			.map(state => ({endpoint: state.endpoint, incarnation: state.incarnation!}));
		if (now - this.announcedDrainingAt > drainingRepeatMs) {
			this.announcedDraining = undefined;
		}

		if (leaving.length === 0 && this.announcedDraining === undefined) {
			return;
		}

		this.noticeSequence += 1;
		const notice: wire.peer.EndpointNotice = {
			type: messageType.EndpointNotice,
			origin: this.options.incarnation,
			sequence: this.noticeSequence,
			leaving,
			...(this.announcedDraining !== undefined && {draining: this.announcedDraining}),
		};
		this.options.peers.broadcast(notice);
	}

	private handleNotice(message: peerNetwork.PeerMessage): void {
		if (!wire.peer.isEndpointNotice(message) || message.origin === this.options.incarnation
			|| message.sequence <= (this.lastNoticeSequences.get(message.origin) ?? 0)) {
			return;
		}

		this.lastNoticeSequences.delete(message.origin);
		this.lastNoticeSequences.set(message.origin, message.sequence);
		this.limitTrackedOrigins();
		const now = this.options.clock.now();
		for (const {endpoint, incarnation} of message.leaving) {
			this.table.applyLeavingNotice(endpoint, incarnation, now);
		}

		if (message.draining !== undefined) {
			this.table.applyDrainingList(message.draining.fencing, message.draining.endpoints, now);
		}

		if (this.options.liveMembers().length > this.options.limits.maxRoutersReadingAll) {
			this.options.peers.broadcast(message);
		}

		this.notifyStateChanges();
	}

	/** Bounds the number of router incarnations whose sequence numbers are kept; removes the oldest one. */
	private limitTrackedOrigins(): void {
		if (this.lastNoticeSequences.size > 1024) {
			const [oldest] = this.lastNoticeSequences.keys();
			this.lastNoticeSequences.delete(oldest!);
		}
	}

	private notifyStateChanges(): void {
		if (this.options.onStateChange === undefined) {
			return;
		}

		for (const state of this.endpointStates()) {
			const {leaving, draining, reachable, report} = state;
			const key = `${leaving} ${draining} ${reachable} ${report?.incarnation} ${report?.sequence}`;
			if (this.notifiedStates.get(state.endpoint) !== key) {
				this.notifiedStates.set(state.endpoint, key);
				this.options.onStateChange(state);
			}
		}
	}
}
