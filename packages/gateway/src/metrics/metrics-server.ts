import type * as prometheus from 'prom-client';
import type * as eventLog from '../util/event-log.js';
import type * as listen from '../util/listen.js';
import * as pathServer from '../util/path-server.js';

/** Address and path at which metrics are served. */
export type MetricsAddress = listen.ListenAddress & {
	readonly path: string;
};

/**
 * Creates the server of the metrics in the Prometheus text format.
 *
 * @param refresh - Updates the gauges; called before each response.
 */
export function createMetricsServer(
	path: string,
	registry: prometheus.Registry,
	refresh: () => void,
	log: eventLog.EventLog,
): pathServer.PathServer {
	return new pathServer.PathServer(path, async res => {
		refresh();
		const text = await registry.metrics();
		res.writeHead(200, {'Content-Type': registry.contentType});
		res.end(text);
	}, log);
}
