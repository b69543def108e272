import * as crypto from 'node:crypto';
import type * as config from '@bluebellmast/config';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as cacheEvents from './controllers/cache-events-controller.js';
import * as endpointWatch from './controllers/endpoint-watch-controller.js';
import * as ledgerController from './controllers/ledger-controller.js';
import * as ledgerFacade from './controllers/ledger-facade.js';
import * as ledgerStore from './controllers/ledger-idempotency-store.js';
import * as issuedKeyController from './controllers/issued-key-controller.js';
import * as leaderController from './controllers/leader-controller.js';
import * as manifestController from './controllers/manifest-controller.js';
import * as memberController from './controllers/member-controller.js';
import * as orderClient from './controllers/order-client.js';
import * as rolloutController from './controllers/rollout-controller.js';
import * as snapshotController from './controllers/snapshot-controller.js';
import * as usageAdmission from './controllers/usage-admission.js';
import * as usageController from './controllers/usage-controller.js';
import * as recallWatcher from './dispatch/recall-watcher.js';
import * as retryLimiter from './dispatch/retry-limiter.js';
import * as connectionPools from './endpoints/connection-pools.js';
import * as engineClient from './endpoints/engine-client.js';
import * as loadClient from './endpoints/load-client.js';
import * as serviceClient from './endpoints/service-client.js';
import * as accountFilter from './filters/account-filter.js';
import * as deadlineFilter from './filters/deadline-filter.js';
import * as dispatchFilter from './filters/dispatch-filter.js';
import * as filterChain from './filters/filter-chain.js';
import type * as filter from './filters/filter.js';
import * as idempotencyFilter from './filters/idempotency-filter.js';
import * as issueKeyFilter from './filters/issue-key-filter.js';
import * as limitsFilter from './filters/limits-filter.js';
import * as prefixFilter from './filters/prefix-filter.js';
import * as forwardController from './forward/forward-controller.js';
import * as adminHandler from './http/admin-handler.js';
import * as createRouterStatus from './http/create-router-status.js';
import * as requestHandler from './http/request-handler.js';
import * as activeRequests from './http/active-requests.js';
import * as routerServer from './http/router-server.js';
import * as peers from './peers/index.js';
import * as placer from './placement/placer.js';
import * as routerProgram from './router-program.js';
import * as clock from './util/clock.js';
import * as countingMetrics from './util/counting-metrics.js';
import * as hotShotsMetrics from './util/hot-shots-metrics.js';
import * as memberRecorder from './util/member-recorder.js';
import * as timelineRecorder from './util/timeline-recorder.js';

/** Creates all parts of a router with their dependencies. No other module constructs them. */
export function createRouterProgram(settings: config.settings.Settings): routerProgram.RouterProgram {
	const base = createBase(settings);
	const fleet = createFleet(base);
	const placement = createPlacement(base, fleet);
	const idempotency = createIdempotency(base, fleet);
	const limits = createLimits(base, fleet);
	const endpointWatcher = createEndpointWatch(base, fleet, placement, limits);
	const leadership = createLeadership(base, fleet, endpointWatcher);
	const filters = createFilters(base, placement, idempotency, limits);
	const forward = idempotency.createForward(filters.afterAccount);
	const chain = new filterChain.FilterChain([new accountFilter.AccountFilter(), ...filters.createAll(forward)]);
	const isReady = () => base.lifecycle.isReady(endpointWatcher.hasPolled);
	const admin = createAdmin(base, fleet, endpointWatcher, isReady);
	return new routerProgram.RouterProgram({
		lifecycle: base.lifecycle,
		controllers: [
			fleet.network,
			fleet.members,
			fleet.snapshots,
			fleet.manifests,
			placement.cacheEventsController,
			idempotency.ledger,
			idempotency.issuedKeys,
			limits.usage,
			limits.admission,
			forward,
			endpointWatcher,
			leadership.leader,
			leadership.rollout,
		],
		server: createServer(base, fleet, chain, admin),
		requests: base.requests,
		recorder: base.recorder,
		readinessLeadMs: settings.stop.readinessLeadMs,
		onStopping() {
			fleet.members.announceLeaving();
		},
		async close() {
			await base.pools.close();
			await base.kv.close();
		},
	});
}

type Base = ReturnType<typeof createBase>;
type Fleet = ReturnType<typeof createFleet>;
type Placement = ReturnType<typeof createPlacement>;
type Idempotency = ReturnType<typeof createIdempotency>;
type Limits = ReturnType<typeof createLimits>;

/** Creates the parts that all others depend on. */
function createBase(settings: config.settings.Settings) {
	const systemClock = new clock.SystemClock();
	const sink = settings.metrics && new hotShotsMetrics.HotShotsMetrics(settings.metrics);
	const metrics = new countingMetrics.CountingMetrics(sink);
	const ring = new core.timeline.TimelineRingBuffer({vm: settings.vm, capacity: settings.timeline.capacity});
	return {
		settings,
		self: {vm: settings.vm, incarnation: crypto.randomUUID()},
		clock: systemClock,
		metrics,
		/** Options that most parts share. */
		common: {clock: systemClock, metrics},
		recorder: new timelineRecorder.TimelineRecorder(ring, systemClock, metrics),
		kv: clients.kv.createEtcdClient({
			baseUrls: settings.platform.kv,
			callTimeoutMs: settings.platform.kvTimeoutMs,
			onCall(type) {
				metrics.increment('kv.calls', 1, {type});
			},
		}),
		pools: new connectionPools.ConnectionPools({connectTimeoutMs: settings.timeouts.connectMs}),
		requests: new activeRequests.ActiveRequests(),
		lifecycle: new routerProgram.Lifecycle(),
	};
}

/** Creates the parts that share state between the routers: peer links, members, manifest and snapshots. */
function createFleet(base: Base) {
	const {settings, self, metrics} = base;
	const {vmList} = settings.platform;
	const network = new peers.TcpPeerNetwork({
		...self,
		dataCentre: settings.dataCentre,
		host: settings.peer.host,
		port: settings.peer.port,
		heartbeatMs: settings.timeouts.heartbeatMs,
		addresses: () => members.addresses(),
		findAddress: vm => members.findAddress(vm),
		...base.common,
	});
	const members: memberController.MemberController = new memberController.MemberController({
		...self,
		dataCentre: settings.dataCentre,
		host: settings.peer.host,
		port: settings.peer.port,
		peers: network,
		vmList: vmList === undefined ? new clients.vms.NullVmListClient() : clients.vms.createHttpVmListClient({baseUrl: vmList}),
		seedAddresses: settings.peers,
		...base.common,
	});
	const manifests = new manifestController.ManifestController({
		vm: self.vm,
		kv: base.kv,
		peers: network,
		...base.common,
		liveMembers: () => members.liveMembers(),
		listedVms: () => members.listedVms(),
		confirmTimeoutMs: settings.manifest.confirmTimeoutMs,
		pollMs: settings.manifest.pollMs,
	});
	const snapshots = new snapshotController.SnapshotController({
		peers: network, sources: [members.snapshotSource()], metrics,
	});
	new memberRecorder.MemberRecorder(base.recorder).subscribe(members);
	manifests.onChange(manifest => {
		base.recorder.record({type: core.timeline.TimelineEventType.ManifestAccepted, generation: manifest.generation});
	});
	return {
		network, members, manifests, snapshots,
	};
}

/** Creates the parts that choose weights and endpoints. */
function createPlacement(base: Base, fleet: Fleet) {
	const {settings, self} = base;
	const seed = core.util.hash32(self.vm);
	const policy = core.placement.createPlacementPolicy(settings.placement.policy, {seed, cost: settings.placement.weights});
	const leastLoad = core.placement.createPlacementPolicy(core.placement.PlacementPolicyName.LeastLoad, {seed});
	const engines = new core.placement.PlacementState({policy});
	const services = new core.placement.PlacementState({policy: leastLoad});
	const weightRecalls = new recallWatcher.RecallWatcher();
	fleet.manifests.onChange(manifest => {
		engines.setEndpoints(manifest.endpoints);
		services.setEndpoints(manifest.endpoints);
		weightRecalls.update(manifest);
	});
	const requestPlacer = new placer.Placer({
		engines,
		services,
		clock: base.clock,
		manifest: () => fleet.manifests.current(),
		isConfirmed: () => fleet.manifests.isConfirmed(base.clock.now()),
	});
	const cacheEventsController = new cacheEvents.CacheEventsController({
		vm: self.vm,
		state: engines,
		liveMembers: () => fleet.members.liveMembers(),
		manifest: () => fleet.manifests.current(),
		dispatcher: () => base.pools.singleUse(),
		peers: fleet.network,
		...base.common,
	});
	return {
		engines, services, weightRecalls, requestPlacer, cacheEventsController,
	};
}

/** Creates the parts that execute non-idempotent requests at most once. */
function createIdempotency(base: Base, fleet: Fleet) {
	const {settings, self, metrics} = base;
	const ledger = ledgerController.createLedgerController({
		self,
		kv: base.kv,
		peers: fleet.network,
		...base.common,
		ledgerOptions: {
			shardCount: settings.ledger.shards,
			retentionMs: settings.ledger.retentionMs,
			commitIntervalMs: settings.ledger.commitIntervalMs,
			maxWaitMs: settings.ledger.waitMs,
		},
	});
	const issuedKeys = issuedKeyController.createIssuedKeyController({self, metrics, clock: base.clock});
	const gate = new ledgerFacade.LedgerFacade(ledger, issuedKeys);
	fleet.members.onChange(records => {
		gate.setMembers(records.map(({vm, incarnation}) => ({vm, incarnation})));
	});
	const createForward = (filters: readonly filter.Filter[]) => new forwardController.ForwardController({
		incarnation: self.incarnation,
		peers: fleet.network,
		clock: base.clock,
		requests: base.requests,
		manifest: () => fleet.manifests.current(),
		filters,
	});
	return {
		ledger, issuedKeys, store: new ledgerStore.LedgerIdempotencyStore(gate), createForward,
	};
}

/** Creates the parts that enforce the limits of accounts and the capacity of pools. */
function createLimits(base: Base, fleet: Fleet) {
	const {settings} = base;
	const manifest = () => fleet.manifests.current();
	const usage = usageController.createUsageController({
		self: base.self,
		peers: fleet.network,
		...base.common,
		accounts: () => manifest()?.accounts ?? [],
		members: () => fleet.members.liveMembers(),
	});
	const admission = usageAdmission.createUsageAdmission({
		usage,
		...base.common,
		manifest,
		countRouters: () => fleet.members.liveMembers().length,
		poolOptions: {maxQueue: settings.limits.maxQueue},
	});
	return {usage, admission};
}

/** Creates the part that tracks the state of the endpoints. */
function createEndpointWatch(
	base: Base,
	fleet: Fleet,
	placement: Placement,
	limits: Limits,
): endpointWatch.EndpointWatchController {
	const loads = new loadClient.LoadClient(base.pools);
	const watch = new endpointWatch.EndpointWatchController({
		...base.self,
		peers: fleet.network,
		clock: base.clock,
		manifest: () => fleet.manifests.current(),
		liveMembers: () => fleet.members.liveMembers(),
		readLoad: async endpoint => loads.read(endpoint),
		leavingHosts: () => fleet.members.leavingEndpointHosts(),
		metrics: base.metrics,
		onStateChange(state) {
			const now = base.clock.now();
			placement.engines.applyObservation(state, now);
			placement.services.applyObservation(state, now);
			if (state.report !== undefined) {
				limits.admission.recordLoad(state.endpoint, state.report);
			}
		},
	});
	fleet.manifests.onChange(() => {
		void watch.tick();
	});
	return watch;
}

/** Creates the parts that send orders to engines while this router holds the leader lease. */
function createLeadership(base: Base, fleet: Fleet, watch: endpointWatch.EndpointWatchController) {
	const leader = new leaderController.LeaderController({
		...base.self,
		kv: base.kv,
		clock: base.clock,
		liveMembers: () => fleet.members.liveMembers(),
		metrics: base.metrics,
	});
	const rollout = new rolloutController.RolloutController({
		client: new orderClient.HttpOrderClient(base.pools),
		clock: base.clock,
		manifest: () => fleet.manifests.current(),
		fencing: () => leader.fencing(),
		countRunning: endpoint => watch.endpointStates().find(state => state.endpoint === endpoint)?.report?.running ?? 0,
		onDraining(fencing, endpoints) {
			watch.announceDraining(fencing, endpoints);
		},
		metrics: base.metrics,
	});
	return {leader, rollout};
}

/** Creates the filters that run after the account is known: for callers' requests and for requests forwarded by other routers. */
function createFilters(base: Base, placement: Placement, idempotency: Idempotency, limits: Limits) {
	const {settings} = base;
	const deadline = new deadlineFilter.DeadlineFilter();
	const dispatch = new dispatchFilter.DispatchFilter({
		chat: {
			engines: new engineClient.EngineClient(base.pools, {
				firstByteTimeoutMs: settings.timeouts.firstByteMs,
				progressTimeoutMs: settings.timeouts.progressMs,
			}),
			placer: placement.requestPlacer,
			recallWatcher: placement.weightRecalls,
		},
		service: {
			services: new serviceClient.ServiceClient(base.pools),
			placer: placement.requestPlacer,
		},
		clock: base.clock,
		retries: new retryLimiter.RetryLimiter({retryRatio: settings.retry.budgetRatio}),
		recorder: base.recorder,
		maxAttempts: settings.retry.maxAttempts,
	});
	const createIdempotencyFilter = (forwarder?: idempotencyFilter.Forwarder) => new idempotencyFilter.IdempotencyFilter({
		store: idempotency.store,
		...(forwarder && {forwarder}),
		findIssuer: (key, account) => idempotency.issuedKeys.findIssuer(key, account),
	});
	return {
		/** Filters of forwarded requests. Their limits were applied by the router that forwarded them. */
		afterAccount: [deadline, createIdempotencyFilter(), dispatch],
		createAll: (forwarder: idempotencyFilter.Forwarder): readonly filter.Filter[] => [
			deadline,
			new limitsFilter.LimitsFilter(limits),
			new issueKeyFilter.IssueKeyFilter(idempotency.issuedKeys),
			createIdempotencyFilter(forwarder),
			new prefixFilter.PrefixFilter(settings.prefix),
			dispatch,
		],
	};
}

/** Creates the handler of the load balancer's probes and operators' requests. */
function createAdmin(
	base: Base,
	fleet: Fleet,
	watch: endpointWatch.EndpointWatchController,
	isReady: () => boolean,
): adminHandler.AdminHandler {
	const {settings} = base;
	return new adminHandler.AdminHandler({
		...(settings.operatorKeyHash !== undefined && {operatorKeyHash: settings.operatorKeyHash}),
		vm: settings.vm,
		isReady,
		recorder: base.recorder,
		status: () => createRouterStatus.createRouterStatus({
			...base, ...fleet, ready: isReady(), watch, now: base.clock.now(),
		}),
	});
}

/** Creates the server for callers, operators and the load balancer. */
function createServer(
	base: Base,
	fleet: Fleet,
	chain: filterChain.FilterChain,
	admin: adminHandler.AdminHandler,
): routerServer.RouterServer {
	const {settings} = base;
	return new routerServer.RouterServer({
		host: settings.listen.host,
		port: settings.listen.port,
		headerTimeoutMs: settings.limits.headerTimeoutMs,
		requests: new requestHandler.RequestHandler({
			chain,
			requests: base.requests,
			clock: base.clock,
			recorder: base.recorder,
			manifest: () => fleet.manifests.current(),
			body: {maxBytes: settings.limits.maxBodyBytes, timeoutMs: settings.limits.bodyTimeoutMs},
		}),
		admin,
	});
}
