import type * as config from '@bluebellmast/config';
import type * as core from '@bluebellmast/core';
import type * as wire from '@bluebellmast/wire';
import type * as endpointWatch from '../controllers/endpoint-watch-controller.js';
import type * as manifestController from '../controllers/manifest-controller.js';
import type * as memberController from '../controllers/member-controller.js';
import type * as routerProgram from '../router-program.js';
import type * as countingMetrics from '../util/counting-metrics.js';
import type * as requestTable from './request-table.js';

/** What a router's status is read from. */
export type StatusSources = {
	readonly self: core.ledger.LedgerMember;
	readonly settings: Pick<config.settings.Settings, 'dataCentre'>;
	/** Whether the balancer is told to send requests. */
	readonly ready: boolean;
	readonly lifecycle: routerProgram.Lifecycle;
	readonly manifests: manifestController.ManifestController;
	readonly members: memberController.MemberController;
	readonly watch: endpointWatch.EndpointWatchController;
	readonly requests: requestTable.RequestTable;
	readonly metrics: countingMetrics.CountingMetrics;
	/** Milliseconds since the Unix epoch. */
	readonly now: number;
};

/** Returns the state of a router for operators. */
export function createStatus(sources: StatusSources): wire.http.RouterStatus {
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

/** One row of the operators' list of endpoints. */
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
