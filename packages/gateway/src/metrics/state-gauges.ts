import process from 'node:process';
import * as prometheus from 'prom-client';

/** State of the gateway that is read before each scrape. */
export type GatewayState = {
	/** Version of the active configuration; 0 if none is known. */
	readonly configVersion: number;
	/** Time since the store last confirmed the configuration, in seconds. */
	readonly configAgeSeconds: number;
	readonly isReady: boolean;
	readonly isLeader: boolean;
	/** Number of VMs that share the limits, including this one. */
	readonly vms: number;
	/** Number of endpoints that are listed as ready. */
	readonly listedEndpoints: number;
	/** Number of listed endpoints that did not respond to the last check. */
	readonly unresponsiveEndpoints: number;
	/** Number of engines that load weights according to the current rollout plan. */
	readonly loadingEndpoints: number;
	/** Number of listed endpoints that state a limit on their requests. */
	readonly limitedEndpoints: number;
	/** Number of requests that have not ended. */
	readonly openRequests: number;
	/** Number of open requests that wait for capacity at an endpoint. */
	readonly waitingRequests: number;
	/** Open connections of callers, and their number at most; infinite without a limit, as the following ones. */
	readonly callerConnections: number;
	readonly maxCallerConnections: number;
	/** Memory for bodies of requests, in bytes, and its size at most. */
	readonly bodyBytes: number;
	readonly maxBodyBytes: number;
	/** Memory for parts of responses that are kept or not read by their callers, in bytes, and its size at most. */
	readonly responseBytes: number;
	readonly maxResponseBytes: number;
	/** Bytes of callers' bodies that wait to be parsed, and their number at most. */
	readonly inputBytes: number;
	readonly maxInputBytes: number;
	/** Number of steps of expensive parsing that wait. */
	readonly scheduledSteps: number;
	readonly droppedLogLines: number;
	/** Sum of the shares of accounts' quotas that this VM holds. */
	readonly heldQuotaShares: number;
};

type GaugeSpec = {
	readonly name: string;
	readonly help: string;
	readonly read: (state: GatewayState) => number;
};

const microsecondsPerSecond = 1_000_000;

const gauges: readonly GaugeSpec[] = [
	{name: 'bluebellmast_config_version', help: 'Version of the configuration in force.', read: state => state.configVersion},
	{name: 'bluebellmast_config_age_seconds', help: 'Time since the store confirmed the configuration.', read: state => state.configAgeSeconds},
	{name: 'bluebellmast_ready', help: 'Whether the VM asks for new connections.', read: state => Number(state.isReady)},
	{name: 'bluebellmast_leader', help: 'Whether the VM may give orders.', read: state => Number(state.isLeader)},
	{name: 'bluebellmast_vms', help: 'VMs that share limits.', read: state => state.vms},
	{name: 'bluebellmast_endpoints_listed', help: 'Endpoints listed as ready.', read: state => state.listedEndpoints},
	{name: 'bluebellmast_endpoints_unresponsive', help: 'Listed endpoints that did not answer a check.', read: state => state.unresponsiveEndpoints},
	{name: 'bluebellmast_endpoints_loading', help: 'Engines that load weights.', read: state => state.loadingEndpoints},
	{name: 'bluebellmast_endpoints_limited', help: 'Listed endpoints that limit their requests.', read: state => state.limitedEndpoints},
	{name: 'bluebellmast_requests_open', help: 'Requests that have not ended.', read: state => state.openRequests},
	{name: 'bluebellmast_requests_waiting', help: 'Requests that wait for room at an endpoint.', read: state => state.waitingRequests},
	{name: 'bluebellmast_caller_connections', help: 'Open connections of callers.', read: state => state.callerConnections},
	{name: 'bluebellmast_caller_connections_max', help: 'Connections of callers at which others are closed for new ones.', read: state => state.maxCallerConnections},
	{name: 'bluebellmast_body_bytes', help: 'Memory for bodies of requests.', read: state => state.bodyBytes},
	{name: 'bluebellmast_body_bytes_max', help: 'Memory for bodies at which slow ones yield; small bodies may use twice as much.', read: state => state.maxBodyBytes},
	{name: 'bluebellmast_response_bytes', help: 'Memory for responses that are not complete or not read.', read: state => state.responseBytes},
	{name: 'bluebellmast_response_bytes_max', help: 'Memory for responses at which the one that is unread for the longest time is cut.', read: state => state.maxResponseBytes},
	{name: 'bluebellmast_input_bytes', help: 'Bytes of chunked bodies that wait to be parsed.', read: state => state.inputBytes},
	{name: 'bluebellmast_input_bytes_max', help: 'Bytes that wait to be parsed at which the connection that waits longest is closed.', read: state => state.maxInputBytes},
	{name: 'bluebellmast_scheduled_steps', help: 'Steps of expensive parsing that wait.', read: state => state.scheduledSteps},
	{name: 'bluebellmast_quota_shares_held', help: 'Sum of the shares of accounts\' quotas that VMs lend to this one, over the partitions of the accounts.', read: state => state.heldQuotaShares},
	{name: 'bluebellmast_log_lines_dropped', help: 'Log lines dropped since the start.', read: state => state.droppedLogLines},
	{name: 'process_resident_memory_bytes', help: 'Memory of the process.', read: () => process.memoryUsage.rss()},
	{name: 'process_cpu_seconds', help: 'Processor time of the process since its start.', read: () => cpuSeconds()},
];

/**
 * Registers the gauges of the gateway's state.
 *
 * @returns A function that reads the state once and sets all gauges.
 */
export function registerStateGauges(registry: prometheus.Registry, readState: () => GatewayState): () => void {
	const registers = [registry];
	const setters = gauges.map(({name, help, read}) => ({gauge: new prometheus.Gauge({name, help, registers}), read}));
	return () => {
		const state = readState();
		for (const {gauge, read} of setters) {
			gauge.set(read(state));
		}
	};
}

function cpuSeconds(): number {
	const {user, system} = process.cpuUsage();
	return (user + system) / microsecondsPerSecond;
}
