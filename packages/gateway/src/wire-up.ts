import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import * as prometheus from 'prom-client';
import * as call from './call/index.js';
import * as controllers from './controllers/index.js';
import * as endpoints from './endpoints/index.js';
import type * as gatewaySettings from './gateway-settings.js';
import * as gateway from './gateway.js';
import * as ingress from './ingress/index.js';
import * as metrics from './metrics/index.js';
import * as peers from './peers/index.js';
import * as placement from './placement/index.js';
import type * as ports from './ports/index.js';
import type * as clocks from './util/clocks.js';
import * as stepScheduler from './util/step-scheduler.js';
import type * as eventLog from './util/event-log.js';

/** Settings, clients, adapters and other dependencies of a gateway. */
export type GatewayOptions = {
	readonly settings: gatewaySettings.GatewaySettings;
	/** Client of the store; without eras no return of the store from a copy is noticed. */
	readonly store: clients.kv.KeyValueClient & clients.kv.KvChangeFeed & Partial<clients.kv.KvEraSource>;
	readonly decoder: ports.StoreDecoder;
	readonly callerProtocol: ports.CallerProtocol;
	readonly endpointProtocol: ports.EndpointProtocol;
	readonly admin: ports.EndpointAdmin;
	readonly cacheStoreChangeFeed: ports.CacheStoreChangeFeed;
	readonly clock: clocks.Clocks;
	/** Log of the process; {@link BoundedEventLog} limits its volume. */
	readonly log: eventLog.EventLog;
	/** Returns the number of lines that the log has dropped; 0 by default. */
	readonly droppedLogLines?: () => number;
	/** Returns a random number in the range [0, 1); used for traffic splits and delays. */
	readonly random: () => number;
};

const msPerSecond = 1000;
/** Number of random numbers among which a process draws its own. */
const processNumbers = 2 ** 32;
/** Age to assume of a version that was named before the start, as a share of the time for which replaced weights may be used. */
const unseenVersionAgeShare = 0.5;
/** Age up to which VMs exchange the age of a version, as a multiple of that time; a VM that starts later relies on the roll-out plan. */
const sharedVersionAgeFactor = 2;
/** Shares of the process's memory for the bodies of requests, which take several times their size while they are joined and sent, and for parts of responses. */
const bodyMemoryShare = 0.125;
const responseMemoryShare = 0.0625;
/** Share of it for input of callers that waits to be parsed. */
const inputMemoryShare = 0.0625;

/** Creates a gateway; {@link gateway.Gateway.start} starts it. */
export function createGateway(options: GatewayOptions): gateway.Gateway {
	const {settings, store, decoder, clock, random, admin} = options;
	const registry = new prometheus.Registry();
	const log = new metrics.EventMetrics(options.log, registry);
	const config = new core.routing.ConfigState();
	const fleet = new placement.FleetState({drainMs: settings.drainMs}, settings.vm);
	const pauses = new placement.EndpointPauses({clock, log, random});
	const quarantine = new controllers.QuarantineController({
		clock,
		log,
		onPendingEvidence() {
			loadController.publishNotices();
		},
		onQuarantined() {
			dispatcher.abortQuarantined();
		},
	});
	const interruptions = new placement.EndpointInterruptions({
		log,
		onInterruption(interruption) {
			quarantine.recordInterruption(interruption);
		},
	});
	const connectors = new endpoints.EndpointConnectors({
		fleet, dataCentre: settings.dataCentre, clock, random,
	});
	const connections = new endpoints.ConnectionPools(() => clock.suspendAwareNow(), connectors);
	const recentVersionMs = settings.maxOutdatedWeightsMs - core.rollout.minStartMarginMs;
	const coordination = new controllers.CoordinationController(fleet, clock, log, recentVersionMs);
	const peerExchange = new peers.PeerExchange({
		listen: settings.peers,
		log,
		onDigest(digest) {
			loadController.applyDigest(digest);
		},
		onQuotaMessage(message, address) {
			quotaController.receive(message, address);
		},
	});
	const quotaBounds = settings.quotaBounds ?? core.quota.defaultQuotaBounds;
	const quotaController = new controllers.QuotaController({
		vm: settings.vm,
		bounds: quotaBounds,
		config,
		propagationMs: settings.configAgeLimits.propagationMs,
		coordination,
		exchange: peerExchange,
		recorder: new metrics.QuotaMetrics(registry),
		clock,
		log,
	});
	const tunnels = new peers.TunnelServer({
		listen: settings.tunnels,
		isMember: address => coordination.isMemberAddress(address),
		findAddress({id, bornAt}) {
			const entry = fleet.registry.get(id);
			return entry?.bornAt === bornAt ? entry.address : undefined;
		},
	});
	const loadController = new controllers.LoadController({
		vm: settings.vm,
		process: Math.floor(random() * processNumbers),
		dataCentre: settings.dataCentre,
		getTunnelAddress: () => tunnels.address,
		fleet,
		pauses,
		quarantine,
		coordination,
		exchange: peerExchange,
		clock,
		log,
		maxSharedVersionAgeMs: settings.maxOutdatedWeightsMs * sharedVersionAgeFactor,
	});
	const leavingRecorder = new placement.LeavingRecorder({
		fleet, clock, log,
		onFirstNotice() {
			loadController.publishNotices();
		},
	});
	admin.setLeavingListener(endpoint => {
		leavingRecorder.record(endpoint);
	});
	admin.setLimitListener((endpoint, limit) => {
		fleet.limits.record(endpoint, {limit, isAuthoritative: false}, clock.suspendAwareNow());
	});
	const {memoryBytes = Infinity} = settings;
	const bodyMemory = new call.BodyMemory(memoryBytes * bodyMemoryShare);
	const responseMemory = new call.ResponseMemory(memoryBytes * responseMemoryShare);
	const scheduler = new stepScheduler.StepScheduler(() => clock.monotonicNow());
	const waiting = new call.RequestQueue(() => clock.monotonicNow());
	const dispatcher = new call.RequestDispatcher({
		fleet,
		pauses,
		interruptions,
		quarantine,
		connections,
		clock,
		scheduler,
		responseMemory,
		log,
		random,
		leavingRecorder,
		placer: new placement.EndpointPlacer(fleet, pauses, {
			dataCentre: settings.dataCentre,
			maxOutdatedWeightsMs: settings.maxOutdatedWeightsMs,
			costs: core.fleet.defaultPlacementCosts,
			admission: core.fleet.defaultAdmissionLimits,
		}),
		protocol: options.endpointProtocol,
		retryWindows: new call.RetryWindows(settings.retryWindow),
		queue: waiting,
		recordCacheObservations(observations) {
			loadController.publishObservations(observations);
		},
		authorizer: new call.ApiKeyAuthorizer(config, settings.configAgeLimits, clock),
	});
	const maxConnections = ingress.computeMaxConnections({memoryBytes, descriptors: settings.fileDescriptors});
	const callerConnections = new ingress.CallerConnections(maxConnections, ingress.computeMaxHeadBytes(memoryBytes));
	const server = new ingress.GatewayServer({
		connections: callerConnections,
		maxHeldInputBytes: memoryBytes * inputMemoryShare,
		scheduler,
		protocol: options.callerProtocol,
		filters: [
			new call.RouteFilter(config, settings.configAgeLimits, clock),
			new call.AccountFilter(config, settings.configAgeLimits, clock),
			new call.QuotaFilter(quotaController, clock, quotaBounds),
			new call.BodyFilter(clock, bodyMemory),
		],
		dispatcher,
		clock,
		log,
	});
	const operator = new controllers.OperatorController({
		decoder, config, fleet, log,
		unseenVersionAgeMs: settings.maxOutdatedWeightsMs * unseenVersionAgeShare,
		onConfigAccepted(accepted) {
			server.applyLimits(accepted.limits);
			quotaController.applyConfig(accepted);
		},
	});
	const endpointController = new controllers.EndpointController({
		decoder, config, fleet, pauses, connections, connectors, dispatcher, admin, clock, log,
	});
	const pathController = new controllers.PathController({
		fleet, connectors, connections, dispatcher, clock, log,
	});
	const cacheStoreController = new controllers.CacheStoreController({
		vm: settings.vm,
		config,
		coordination,
		changeFeed: options.cacheStoreChangeFeed,
		pauses,
		log,
		publishObservations(observations) {
			loadController.publishObservations(observations);
		},
	});
	const leaseController = new controllers.LeaseController({
		vm: settings.vm, getOwnAddress: () => peerExchange.address, store, coordination, clock, log, random,
	}, controllers.createVmLeaseOptions(settings.leaderOrderGapMs));
	const recentVersions = new controllers.RecentVersionKeys({
		store, targets: fleet.targets, coordination, clock, lifetimeMs: recentVersionMs,
	});
	const rolloutController = new controllers.RolloutController({
		vm: settings.vm, store, coordination, lease: leaseController, recentVersions, fleet, pauses, config, admin, clock, log, limits: core.rollout.defaultRolloutLimits,
	});
	const quarantineStore = new controllers.QuarantineStore({
		store, lease: leaseController, quarantine, clock, log,
	});
	const operatorOverrides = new controllers.OperatorOverrideListener({quarantine, clock, log});
	const listener = new controllers.PrefixListeners([
		{prefix: decoder.prefixes.operator, listener: operator},
		{prefix: decoder.prefixes.endpoints, listener: endpointController},
		{prefix: controllers.coordinationPrefix, listener: coordination},
		// Before the evidence, which an operator may have lifted.
		{prefix: controllers.operatorOverridesKey, listener: operatorOverrides},
		{prefix: controllers.quarantineKey, listener: quarantineStore},
	]);
	// Subscribed before the feed, so that nothing uses what was read in an earlier era.
	store.eras?.subscribe(new controllers.EraListener({coordination, leaseController, log}));
	// One feed of the whole store takes a third of the calls that one feed per prefix would.
	const feed = new controllers.StoreFeed({
		store,
		eras: store.eras,
		prefix: '',
		listener,
		pollPauseMs: () => core.fleet.computePollPauseMs(fleet.vmCount),
		returnDelayMs: () => random() * core.fleet.computePollPauseMs(fleet.vmCount),
		clock,
		log,
	}, {
		...controllers.defaultStoreFeedOptions,
		maxUnconfirmedMs: core.routing.computeMaxUnconfirmedMs(settings.configAgeLimits),
		lapse: {...core.store.defaultLapseOptions, ...(settings.endpointHeartbeatMs !== undefined && {heartbeatMs: settings.endpointHeartbeatMs})},
	});
	const refresh = metrics.registerStateGauges(registry, () => {
		const ready = fleet.registry.list().filter(entry => entry.state === core.fleet.EndpointState.Ready);
		return {
			configVersion: config.table?.config.version ?? 0,
			configAgeSeconds: config.ageMs(clock.suspendAwareNow()) / msPerSecond,
			isReady: instance.isReady(),
			isLeader: leaseController.isLeading,
			vms: fleet.vmCount,
			listedEndpoints: ready.length,
			unresponsiveEndpoints: ready.filter(entry => !fleet.health.isResponsive(entry.id)).length,
			loadingEndpoints: ready.filter(entry => core.rollout.isLoading(fleet.plan, entry.id)).length,
			limitedEndpoints: ready.filter(entry => fleet.limits.getRate(entry) !== undefined).length,
			openRequests: server.openRequests,
			waitingRequests: waiting.size,
			callerConnections: callerConnections.size,
			maxCallerConnections: callerConnections.maxConnections,
			bodyBytes: bodyMemory.usedBytes,
			maxBodyBytes: bodyMemory.maxBytes,
			responseBytes: responseMemory.usedBytes,
			maxResponseBytes: responseMemory.maxBytes,
			inputBytes: server.heldInputBytes,
			maxInputBytes: memoryBytes * inputMemoryShare,
			scheduledSteps: scheduler.size,
			heldQuotaShares: quotaController.heldShares,
			droppedLogLines: options.droppedLogLines?.() ?? 0,
		};
	});
	const instance = new gateway.Gateway({
		settings,
		config,
		fleet,
		server,
		dispatcher,
		feed,
		leaseController,
		rolloutController,
		coordination,
		endpointController,
		operator,
		peerExchange,
		tunnels,
		pathController,
		loadController,
		quotaController,
		quarantineStore,
		cacheStoreController,
		clock,
		log,
		metrics: settings.metrics && metrics.createMetricsServer(settings.metrics.path, registry, refresh, log),
	});
	return instance;
}
