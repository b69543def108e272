import * as http from 'node:http';
import type * as prometheus from 'prom-client';
import * as eventLog from '../util/event-log.js';
import * as listen from '../util/listen.js';

/** Where metrics are served. */
export type MetricsAddress = listen.ListenAddress & {
	readonly path: string;
};

/** Serves the metrics as text. */
export class MetricsServer {
	readonly #server: http.Server;

	constructor(
		private readonly address: MetricsAddress,
		private readonly registry: prometheus.Registry,
		private readonly log: eventLog.EventLog,
	) {
		this.#server = http.createServer((req, res) => {
			void this.#answer(req, res);
		});
	}

	/** Starts to listen. */
	async listen(): Promise<void> {
		return listen.listenOn(this.#server, this.address);
	}

	/** Port on which the server listens. */
	get port(): number {
		return listen.portOf(this.#server);
	}

	/** Closes everything at once. */
	close(): void {
		this.#server.close();
		this.#server.closeAllConnections();
	}

	async #answer(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
		if (req.url !== this.address.path) {
			res.writeHead(404, {'Content-Length': 0});
			res.end();
			return;
		}

		try {
			const text = await this.registry.metrics();
			res.writeHead(200, {'Content-Type': this.registry.contentType});
			res.end(text);
		} catch (err) {
			this.log.write(eventLog.LogEvent.InternalError, {task: 'metrics', problem: String(err)});
			res.destroy();
		}
	}
}
