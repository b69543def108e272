import type * as eventLog from '../util/event-log.js';
import * as pathServer from '../util/path-server.js';

/**
 * Creates the server that tells the platform's load balancer whether this VM accepts new connections.
 *
 * @param isReady - Called for each request.
 */
export function createReadinessServer(path: string, isReady: () => boolean, log: eventLog.EventLog): pathServer.PathServer {
	return new pathServer.PathServer(path, res => {
		res.writeHead(isReady() ? 200 : 503, {'Content-Length': 0});
		res.end();
	}, log);
}
