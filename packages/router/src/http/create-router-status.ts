import type * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import type * as endpointWatch from '../controllers/endpoint-watch-controller.js';
import type * as manifestController from '../controllers/manifest-controller.js';
import type * as memberController from '../controllers/member-controller.js';
import type * as routerProgram from '../router-program.js';
import type * as countingMetrics from '../util/counting-metrics.js';
import type * as activeRequests from './active-requests.js';

/** Sources of a router's status. */
export type StatusSources = {
	readonly self: core.ledger.LedgerMember;
	readonly settings: Pick<config.settings.Settings, 'dataCentre'>;
	/** Whether the readiness probe tells the load balancer to send requests. */
	readonly ready: boolean;
	readonly lifecycle: routerProgram.Lifecycle;
	readonly manifests: manifestController.ManifestController;
	readonly members: memberController.MemberController;
	readonly watch: endpointWatch.EndpointWatchController;
	readonly requests: activeRequests.ActiveRequests;
	readonly metrics: countingMetrics.CountingMetrics;
	/** Milliseconds since the Unix epoch. */
	readonly now: number;
};

/** Returns the status of a router for operators. */
export function createRouterStatus(sources: StatusSources): wire.http.RouterStatus {
	const {ready, manifests, now} = sources;
	return {
		...sources.self,
		dataCentre: sources.settings.dataCentre,
		ready,
		stopping: sources.lifecycle.isStopping,
		generation: manifests.current()?.generation ?? 0,
		confirmed: manifests.isConfirmed(now),
		requestsUnderWay: sources.requests.size,
		members: sources.members.liveRecords(),
		endpoints: sources.watch.endpointStates().map(state => describeEndpoint(state)),
		counters: sources.metrics.counters(),
	};
}

/** Returns one row of the operators' endpoint list. */
function describeEndpoint(state: endpointWatch.WatchedEndpoint): Readonly<Record<string, unknown>> {
	const {endpoint, incarnation, reachable, leaving, draining, report} = state;
	return {
		id: endpoint,
		reachable,
		leaving,
		draining,
		running: report?.running,
		queued: report?.queued,
		weights: report?.weights.join(' '),
		incarnation,
	};
}
