import * as http from 'node:http';

/** HTTP server that keeps idle connections open while a response has ended that is not sent as a whole; Node counts its connection as idle. */
export class CallerHttpServer extends http.Server {
	constructor(
		options: http.ServerOptions,
		private readonly handle: (req: http.IncomingMessage, res: http.ServerResponse) => void,
		private readonly hasUnsentResponses: () => boolean,
	) {
		super(options);
		this.on('request', this.handle);
	}

	override closeIdleConnections(): void {
		if (!this.hasUnsentResponses()) {
			super.closeIdleConnections();
		}
	}
}
