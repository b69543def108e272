import * as crypto from 'node:crypto';
import type * as config from '@bluebellmast/config';
import * as core from '@bluebellmast/core';
import * as platform from '@bluebellmast/platform';
import * as loadPoll from './controllers/load-poll-controller.js';
import * as manifestController from './controllers/manifest-controller.js';
import * as recallWatch from './dispatch/recall-watch.js';
import * as retryLimiter from './dispatch/retry-limiter.js';
import * as connectionPools from './endpoints/connection-pools.js';
import * as engineClient from './endpoints/engine-client.js';
import * as serviceClient from './endpoints/service-client.js';
import * as accountFilter from './filters/account-filter.js';
import * as deadlineFilter from './filters/deadline-filter.js';
import * as dispatchFilter from './filters/dispatch-filter.js';
import * as filterChain from './filters/filter-chain.js';
import * as idempotencyFilter from './filters/idempotency-filter.js';
import * as memoryStore from './filters/memory-idempotency-store.js';
import * as prefixFilter from './filters/prefix-filter.js';
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
	const incarnation = crypto.randomUUID();
	const systemClock = new clock.SystemClock();
	const metrics = new countingMetrics.CountingMetrics(settings.metrics && new hotShotsMetrics.HotShotsMetrics(settings.metrics));
	const ring = new core.timeline.TimelineRing({vm: settings.vm, capacity: settings.timeline.capacity});
	const events = new recorder.Recorder(ring, systemClock, metrics);
	const kv = new platform.kv.EtcdClient({
		baseUrls: settings.platform.kv,
		callTimeoutMs: settings.platform.kvTimeoutMs,
		onCall(type) {
			metrics.increment('kv.calls', 1, {type});
		},
	});
	const network = new peers.TcpPeerNetwork({
		vm: settings.vm,
		incarnation,
		dataCentre: settings.dataCentre,
		host: settings.peer.host,
		port: settings.peer.port,
		addresses: () => settings.peers,
		clock: systemClock,
		metrics,
	});
	const members = () => [settings.vm, ...network.connected()];
	const manifests = new manifestController.ManifestController({
		vm: settings.vm,
		kv,
		peers: network,
		clock: systemClock,
		metrics,
		liveMembers: members,
		listedVms: members,
		confirmTimeoutMs: settings.manifest.confirmTimeoutMs,
		pollMs: settings.manifest.pollMs,
	});
	const pools = new connectionPools.ConnectionPools({connectTimeoutMs: settings.timeouts.connectMs});
	const seed = core.util.hash32(settings.vm);
	const engines = new core.placement.PlacementState({
		policy: core.placement.createPlacementPolicy(settings.placement.policy, {seed}),
	});
	const services = new core.placement.PlacementState({
		policy: core.placement.createPlacementPolicy(core.placement.PlacementPolicyName.LeastLoad, {seed}),
	});
	const recalls = new recallWatch.RecallWatch();
	manifests.onChange(manifest => {
		engines.loads.setEndpoints(manifest.endpoints);
		services.loads.setEndpoints(manifest.endpoints);
		recalls.update(manifest);
		events.record({type: core.timeline.TimelineEventType.ManifestAccepted, generation: manifest.generation});
	});
	const polls = new loadPoll.LoadPollController({
		manifest: () => manifests.current(),
		pools,
		clock: systemClock,
		onReport(endpoint, report) {
			engines.reported(endpoint.id, report, systemClock.now());
			services.reported(endpoint.id, report, systemClock.now());
		},
	});
	manifests.onChange(() => {
		void polls.pollAll();
	});
	const chooser = new placer.Placer({
		engines,
		services,
		clock: systemClock,
		manifest: () => manifests.current(),
		isConfirmed: () => manifests.confirmed(systemClock.now()),
	});
	const chain = new filterChain.FilterChain([
		new accountFilter.AccountFilter(),
		new deadlineFilter.DeadlineFilter(),
		new idempotencyFilter.IdempotencyFilter({store: new memoryStore.MemoryIdempotencyStore(), clock: systemClock}),
		new prefixFilter.PrefixFilter(settings.prefix),
		new dispatchFilter.DispatchFilter({
			chat: {
				engines: new engineClient.EngineClient(pools, {
					firstByteTimeoutMs: settings.timeouts.firstByteMs,
					progressTimeoutMs: settings.timeouts.progressMs,
				}),
				placer: chooser,
				recalls,
			},
			service: {
				services: new serviceClient.ServiceClient(pools, {maxAnswerBytes: maxServiceAnswerBytes}),
				placer: chooser,
			},
			clock: systemClock,
			retries: new retryLimiter.RetryLimiter({share: settings.retry.budgetRatio}),
			maxAttempts: settings.retry.maxAttempts,
			maxResumes,
		}),
	]);
	const requests = new requestTable.RequestTable();
	const lifecycle = new routerProgram.Lifecycle();
	const isReady = () => lifecycle.isServing && polls.hasPolled;
	const server = new routerServer.RouterServer({
		host: settings.listen.host,
		port: settings.listen.port,
		headerTimeoutMs: settings.limits.headerTimeoutMs,
		requests: new requestHandler.RequestHandler({
			chain,
			requests,
			clock: systemClock,
			recorder: events,
			manifest: () => manifests.current(),
			body: {maxBytes: settings.limits.maxBodyBytes, timeoutMs: settings.limits.bodyTimeoutMs},
		}),
		admin: new adminHandler.AdminHandler({
			...(settings.operatorKeyHash !== undefined && {operatorKeyHash: settings.operatorKeyHash}),
			vm: settings.vm,
			isReady,
			recorder: events,
			status: () => ({
				vm: settings.vm,
				incarnation,
				dataCentre: settings.dataCentre,
				ready: isReady(),
				stopping: !lifecycle.isServing,
				generation: manifests.current()?.generation ?? 0,
				confirmed: manifests.confirmed(systemClock.now()),
				requestsUnderWay: requests.size,
				members: members(),
				endpoints: [],
				counters: metrics.counters(),
			}),
		}),
	});
	return new routerProgram.RouterProgram({
		lifecycle,
		controllers: [network, manifests, polls],
		server,
		requests,
		recorder: events,
		readinessLeadMs: settings.stop.readinessLeadMs,
		async close() {
			await pools.close();
			await kv.close();
		},
	});
}
