import * as crypto from 'node:crypto';
import type * as config from '@bluebellmast/config';
import * as core from '@bluebellmast/core';
import * as platform from '@bluebellmast/platform';
import * as cacheEvents from './controllers/cache-events-controller.js';
import * as ledgerController from './controllers/ledger-controller.js';
import * as ledgerGate from './controllers/ledger-gate.js';
import * as ledgerStore from './controllers/ledger-idempotency-store.js';
import * as ledgerIssuedKeys from './controllers/ledger-issued-keys.js';
import * as loadPoll from './controllers/load-poll-controller.js';
import * as manifestController from './controllers/manifest-controller.js';
import * as memberController from './controllers/member-controller.js';
import * as snapshotController from './controllers/snapshot-controller.js';
import * as usageAdmission from './controllers/usage-admission.js';
import * as usageController from './controllers/usage-controller.js';
import * as recallWatch from './dispatch/recall-watch.js';
import * as retryLimiter from './dispatch/retry-limiter.js';
import * as connectionPools from './endpoints/connection-pools.js';
import * as engineClient from './endpoints/engine-client.js';
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
import * as requestHandler from './http/request-handler.js';
import * as requestTable from './http/request-table.js';
import * as routerServer from './http/router-server.js';
import * as peers from './peers/index.js';
import * as placer from './placement/placer.js';
import * as routerProgram from './router-program.js';
import * as clock from './util/clock.js';
import * as countingMetrics from './util/counting-metrics.js';
import * as hotShotsMetrics from './util/hot-shots-metrics.js';
import * as recorder from './util/recorder.js';

const maxResumes = 3;
const maxServiceAnswerBytes = 16 * 1024 * 1024;

/** Constructs all parts of a router and joins them. The only module that does so. */
export function createRouterProgram(settings: config.settings.Settings): routerProgram.RouterProgram {
	const base = createBase(settings);
	const fleet = createFleet(base);
	const placement = createPlacement(base, fleet);
	const once = createOnce(base, fleet);
	const limits = createLimits(base, fleet);
	const polls = createPolls(base, fleet, placement, limits);
	const filters = createFilters(base, placement, once, limits);
	const forward = once.createForward(filters.afterAccount);
	const chain = new filterChain.FilterChain([new accountFilter.AccountFilter(), ...filters.createAll(forward)]);
	const isReady = () => base.lifecycle.isServing && polls.hasPolled;
	return new routerProgram.RouterProgram({
		lifecycle: base.lifecycle,
		controllers: [
			fleet.network,
			fleet.members,
			fleet.snapshots,
			fleet.manifests,
			placement.events,
			once.ledger,
			once.issuedKeys,
			limits.usage,
			limits.admission,
			forward,
			polls,
		],
		server: createServer(base, fleet, chain, isReady),
		requests: base.requests,
		recorder: base.events,
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
type Once = ReturnType<typeof createOnce>;
type Limits = ReturnType<typeof createLimits>;

/** What all other parts use. */
function createBase(settings: config.settings.Settings) {
	const systemClock = new clock.SystemClock();
	const sink = settings.metrics && new hotShotsMetrics.HotShotsMetrics(settings.metrics);
	const metrics = new countingMetrics.CountingMetrics(sink);
	const ring = new core.timeline.TimelineRing({vm: settings.vm, capacity: settings.timeline.capacity});
	return {
		settings,
		self: {vm: settings.vm, incarnation: crypto.randomUUID()},
		clock: systemClock,
		metrics,
		events: new recorder.Recorder(ring, systemClock, metrics),
		kv: platform.kv.createEtcdClient({
			baseUrls: settings.platform.kv,
			callTimeoutMs: settings.platform.kvTimeoutMs,
			onCall(type) {
				metrics.increment('kv.calls', 1, {type});
			},
		}),
		pools: new connectionPools.ConnectionPools({connectTimeoutMs: settings.timeouts.connectMs}),
		requests: new requestTable.RequestTable(),
		lifecycle: new routerProgram.Lifecycle(),
	};
}

/** Links, members, manifest and snapshots: the state that is shared over the fleet. */
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
		clock: base.clock,
		metrics,
	});
	const members: memberController.MemberController = new memberController.MemberController({
		...self,
		dataCentre: settings.dataCentre,
		host: settings.peer.host,
		port: settings.peer.port,
		network,
		vmList: vmList === undefined ? new platform.vms.NoVmList() : platform.vms.createHttpVmListClient({baseUrl: vmList}),
		hints: settings.peers,
		clock: base.clock,
		metrics,
	});
	const manifests = new manifestController.ManifestController({
		vm: self.vm,
		kv: base.kv,
		peers: network,
		clock: base.clock,
		metrics,
		liveMembers: () => members.liveMembers(),
		listedVms: () => members.listedVms(),
		confirmTimeoutMs: settings.manifest.confirmTimeoutMs,
		pollMs: settings.manifest.pollMs,
	});
	const snapshots = new snapshotController.SnapshotController({
		network, sources: [members.snapshotSource()], metrics,
	});
	manifests.onChange(manifest => {
		base.events.record({type: core.timeline.TimelineEventType.ManifestAccepted, generation: manifest.generation});
	});
	return {
		network, members, manifests, snapshots,
	};
}

/** What chooses weights and endpoints. */
function createPlacement(base: Base, fleet: Fleet) {
	const {settings, self, metrics} = base;
	const seed = core.util.hash32(self.vm);
	const policy = core.placement.createPlacementPolicy(settings.placement.policy, {seed});
	const leastLoad = core.placement.createPlacementPolicy(core.placement.PlacementPolicyName.LeastLoad, {seed});
	const engines = new core.placement.PlacementState({policy});
	const services = new core.placement.PlacementState({policy: leastLoad});
	const recalls = new recallWatch.RecallWatch();
	fleet.manifests.onChange(manifest => {
		engines.loads.setEndpoints(manifest.endpoints);
		services.loads.setEndpoints(manifest.endpoints);
		recalls.update(manifest);
	});
	const chooser = new placer.Placer({
		engines,
		services,
		clock: base.clock,
		manifest: () => fleet.manifests.current(),
		isConfirmed: () => fleet.manifests.confirmed(base.clock.now()),
	});
	const events = new cacheEvents.CacheEventsController({
		vm: self.vm,
		state: engines,
		liveMembers: () => fleet.members.liveMembers(),
		manifest: () => fleet.manifests.current(),
		dispatcher: () => base.pools.fresh(),
		peers: fleet.network,
		clock: base.clock,
		metrics,
	});
	return {
		engines, services, recalls, chooser, events,
	};
}

/** What lets requests that may not be repeated run at most once. */
function createOnce(base: Base, fleet: Fleet) {
	const {settings, self, metrics} = base;
	const ledger = ledgerController.createLedgerController({
		self,
		kv: base.kv,
		peers: fleet.network,
		metrics,
		clock: base.clock,
		terms: {
			shardCount: settings.ledger.shards,
			retentionMs: settings.ledger.retentionMs,
			commitIntervalMs: settings.ledger.commitIntervalMs,
			maxWaitMs: settings.ledger.waitMs,
		},
	});
	const issuedKeys = ledgerIssuedKeys.createIssuedKeyController({self, metrics, clock: base.clock});
	const gate = new ledgerGate.LedgerGate(ledger, issuedKeys);
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

/** What holds accounts to their limits and pools to their capacity. */
function createLimits(base: Base, fleet: Fleet) {
	const {settings, metrics} = base;
	const manifest = () => fleet.manifests.current();
	const usage = usageController.createUsageController({
		self: base.self,
		peers: fleet.network,
		metrics,
		clock: base.clock,
		accounts: () => manifest()?.accounts ?? [],
		members: () => fleet.members.liveMembers(),
	});
	const admission = usageAdmission.createUsageAdmission({
		usage,
		clock: base.clock,
		metrics,
		manifest,
		routers: () => fleet.members.liveMembers().length,
		terms: {maxQueue: settings.limits.maxQueue},
	});
	return {usage, admission};
}

/** What learns the load of the endpoints. */
function createPolls(base: Base, fleet: Fleet, placement: Placement, limits: Limits): loadPoll.LoadPollController {
	const polls = new loadPoll.LoadPollController({
		manifest: () => fleet.manifests.current(),
		pools: base.pools,
		clock: base.clock,
		onReport(endpoint, report) {
			const now = base.clock.now();
			placement.engines.reported(endpoint.id, report, now);
			placement.services.reported(endpoint.id, report, now);
			limits.admission.reported(endpoint.id, report);
		},
	});
	fleet.manifests.onChange(() => {
		void polls.pollAll();
	});
	return polls;
}

/** The filters behind the account: of callers' requests, and of those that another router has forwarded. */
function createFilters(base: Base, placement: Placement, once: Once, limits: Limits) {
	const {settings} = base;
	const deadline = new deadlineFilter.DeadlineFilter();
	const dispatch = new dispatchFilter.DispatchFilter({
		chat: {
			engines: new engineClient.EngineClient(base.pools, {
				firstByteTimeoutMs: settings.timeouts.firstByteMs,
				progressTimeoutMs: settings.timeouts.progressMs,
			}),
			placer: placement.chooser,
			recalls: placement.recalls,
		},
		service: {
			services: new serviceClient.ServiceClient(base.pools, {maxAnswerBytes: maxServiceAnswerBytes}),
			placer: placement.chooser,
		},
		clock: base.clock,
		retries: new retryLimiter.RetryLimiter({share: settings.retry.budgetRatio}),
		recorder: base.events,
		maxAttempts: settings.retry.maxAttempts,
		maxResumes,
	});
	const createIdempotency = (forwarder?: idempotencyFilter.Forwarder) => new idempotencyFilter.IdempotencyFilter({
		store: once.store,
		...(forwarder && {forwarder}),
		issuerOf: (key, account) => once.issuedKeys.issuerOf(key, account),
	});
	return {
		/** A forwarded request was counted and let in by the router that forwarded it. */
		afterAccount: [deadline, createIdempotency(), dispatch],
		createAll: (forwarder: idempotencyFilter.Forwarder): readonly filter.Filter[] => [
			deadline,
			new limitsFilter.LimitsFilter(limits),
			new issueKeyFilter.IssueKeyFilter(once.issuedKeys),
			createIdempotency(forwarder),
			new prefixFilter.PrefixFilter(settings.prefix),
			dispatch,
		],
	};
}

/** The server for callers, operators and the balancer. */
function createServer(
	base: Base,
	fleet: Fleet,
	chain: filterChain.FilterChain,
	isReady: () => boolean,
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
			recorder: base.events,
			manifest: () => fleet.manifests.current(),
			body: {maxBytes: settings.limits.maxBodyBytes, timeoutMs: settings.limits.bodyTimeoutMs},
		}),
		admin: new adminHandler.AdminHandler({
			...(settings.operatorKeyHash !== undefined && {operatorKeyHash: settings.operatorKeyHash}),
			vm: settings.vm,
			isReady,
			recorder: base.events,
			status: () => createStatus(base, fleet, isReady()),
		}),
	});
}

function createStatus(base: Base, fleet: Fleet, ready: boolean): adminHandler.RouterStatus {
	return {
		...base.self,
		dataCentre: base.settings.dataCentre,
		ready,
		stopping: base.lifecycle.isStopping,
		generation: fleet.manifests.current()?.generation ?? 0,
		confirmed: fleet.manifests.confirmed(base.clock.now()),
		requestsUnderWay: base.requests.size,
		members: fleet.members.liveRecords(),
		endpoints: [],
		counters: base.metrics.counters(),
	};
}
