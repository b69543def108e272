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
import type * as eventLog from './util/event-log.js';

/** What a gateway is made of beside its own parts. */
export type GatewayOptions = {
	readonly settings: gatewaySettings.GatewaySettings;
	readonly store: clients.kv.KeyValueClient & clients.kv.KvChangeFeed;
	readonly decoder: ports.StoreDecoder;
	readonly callerProtocol: ports.CallerProtocol;
	readonly endpointProtocol: ports.EndpointProtocol;
	readonly admin: ports.EndpointAdmin;
	readonly cacheStoreNews: ports.CacheStoreNews;
	readonly clock: clocks.Clocks;
	/** Log of the process; {@link BoundedEventLog} bounds its volume. */
	readonly log: eventLog.EventLog;
	/** Lines that the log dropped so far; none by default. */
	readonly droppedLogLines?: () => number;
	/** Draws a number from 0 up to but not including 1; decides splits and pauses. */
	readonly random: () => number;
};

const msPerSecond = 1000;

/** Constructs a gateway; {@link gateway.Gateway.start} starts it. */
export function createGateway(options: GatewayOptions): gateway.Gateway {
	const {settings, store, decoder, clock, random, admin} = options;
	const registry = new prometheus.Registry();
	const log = new metrics.EventMetrics(options.log, registry);
	const config = new core.routing.ConfigState();
	const fleet = new placement.FleetState();
	const connections = new endpoints.ConnectionPools();
	const duties = new controllers.DutyController(fleet, clock, log);
	const exchange = new peers.LoadExchange({
		listen: settings.peers,
		log,
		onDigest(digest) {
			load.takeDigest(digest);
		},
	});
	const load = new controllers.LoadController({
		vm: settings.vm, fleet, duties, exchange, clock,
	});
	const waiting = new call.RequestQueue(() => clock.monotonicNow());
	const dispatcher = new call.RequestDispatcher({
		fleet,
		connections,
		clock,
		log,
		random,
		placer: new placement.EndpointPlacer(fleet, {
			dataCentre: settings.dataCentre,
			versionMs: settings.versionMs,
			costs: core.fleet.defaultPlacementCosts,
			admission: core.fleet.defaultAdmissionLimits,
		}),
		protocol: options.endpointProtocol,
		retryWindows: new call.RetryWindows(settings.retries),
		queue: waiting,
		recordCacheObservations(signs) {
			load.noteSigns(signs);
		},
		authorizer: new call.ApiKeyAuthorizer(config, settings.trust, clock),
	});
	const server = new ingress.GatewayServer({
		protocol: options.callerProtocol,
		filters: [
			new call.RouteFilter(config, settings.trust, clock),
			new call.AccountFilter(config, settings.trust, clock),
			new call.BodyFilter(clock),
		],
		dispatcher,
		clock,
		log,
	});
	const operator = new controllers.OperatorController({
		decoder, config, fleet, clock, log,
		onConfig(accepted) {
			server.applyLimits(accepted.limits);
		},
	});
	const endpointController = new controllers.EndpointController({
		decoder, config, fleet, connections, dispatcher, admin, clock, log,
	});
	const cacheStore = new controllers.CacheStoreController({
		vm: settings.vm,
		config,
		duties,
		news: options.cacheStoreNews,
		log,
		noteSigns(signs) {
			load.noteSigns(signs);
		},
	});
	const lease = new controllers.LeaseController({
		vm: settings.vm, ownAddress: () => exchange.address, store, duties, clock, log, random,
	}, controllers.createVmLeaseTerms(settings.holderGapMs));
	const rollout = new controllers.RolloutController({
		vm: settings.vm, store, duties, lease, fleet, config, admin, clock, log, terms: core.rollout.defaultRolloutLimits,
	});
	const listener = new controllers.PrefixListeners([
		{prefix: decoder.prefixes.operator, listener: operator},
		{prefix: decoder.prefixes.endpoints, listener: endpointController},
		{prefix: controllers.dutyPrefix, listener: duties},
	]);
	// One feed of the whole store costs a third of the calls of three.
	const feed = new controllers.StoreFeed({
		store, prefix: '', listener, clock, log,
	});
	const refresh = metrics.registerStateGauges(registry, () => {
		const ready = fleet.registry.list().filter(entry => entry.state === core.fleet.EndpointState.Ready);
		return {
			configVersion: config.table?.config.version ?? 0,
			configAgeSeconds: config.ageMs(clock.suspendAwareNow()) / msPerSecond,
			isReady: program.isReady(),
			isLeader: lease.isLeading,
			vms: fleet.vms,
			listedEndpoints: ready.length,
			unresponsiveEndpoints: ready.filter(entry => !fleet.health.isResponsive(entry.id)).length,
			loadingEndpoints: ready.filter(entry => core.rollout.isLoading(fleet.plan, entry.id)).length,
			openRequests: server.openRequests,
			waitingRequests: waiting.size,
			droppedLogLines: options.droppedLogLines?.() ?? 0,
		};
	});
	const program = new gateway.Gateway({
		settings,
		config,
		fleet,
		server,
		feed,
		lease,
		rollout,
		duties,
		endpointController,
		exchange,
		load,
		cacheStore,
		clock,
		log,
		metrics: settings.metrics && metrics.createMetricsServer(settings.metrics.path, registry, refresh, log),
	});
	return program;
}
