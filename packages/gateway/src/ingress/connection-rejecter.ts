import type * as http from 'node:http';
import type * as net from 'node:net';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as eventLog from '../util/event-log.js';
import type * as connectionInputs from './connection-inputs.js';
import * as connectionRejection from './connection-rejection.js';
import type * as responseOrder from './response-order.js';

/** Options of {@link ConnectionRejecter}. */
export type ConnectionRejecterOptions = {
	readonly log: eventLog.EventLog;
	readonly order: responseOrder.ResponseOrder;
	readonly inputs: connectionInputs.ConnectionInputs;
	/** Whether a response belongs to a request that is being handled. */
	readonly isHandled: (res: http.ServerResponse) => boolean;
	/** Closes the connection after a response, since invalid bytes followed its request. */
	readonly closeAfter: (res: http.ServerResponse) => void;
};

/** Refuses connections on which no request can be handled. */
export class ConnectionRejecter {
	constructor(private readonly options: ConnectionRejecterOptions) {}

	/** Refuses a connection for which there is no room. */
	rejectForRoom(socket: net.Socket): void {
		this.options.log.write(eventLog.LogEvent.CallerTurnedAway, {reason: core.log.TurnAwayReason.Connections, address: socket.remoteAddress});
		this.options.inputs.discard(socket);
		socket.write(connectionRejection.createFullRejection().response);
		clients.connections.closeLingering(socket, clients.connections.minLingerMs);
	}

	/** Handles a head that takes too long, unless the rest of it had arrived, but was not read yet. */
	async rejectSlowHead(err: NodeJS.ErrnoException, socket: net.Socket): Promise<void> {
		const last = this.options.order.getLast(socket);
		await clients.timeouts.waitForInput();
		if (this.options.order.getLast(socket) === last) {
			this.rejectConnection(err, socket);
		}
	}

	/** Handles bytes that are no request, or a head that takes too long. */
	rejectConnection(err: NodeJS.ErrnoException, socket: net.Socket): void {
		if (err.code === 'ECONNRESET') {
			socket.destroy();
			return;
		}

		if (!socket.writable) {
			// The connection is closed already, and discards what arrives.
			return;
		}

		if (connectionRejection.isHeadTimeout(err) && socket.bytesRead === 0) {
			// No request has begun, so a caller that sends one now must not take a refusal for its response.
			clients.connections.closeLingering(socket, clients.connections.minLingerMs);
			return;
		}

		const open = this.options.order.getOpen(socket);
		const isIncomplete = open !== undefined && !open.req.complete;
		if (isIncomplete && !this.options.isHandled(open)) {
			// Earlier responses come first; the body is refused when its time is over.
			return;
		}

		if (open === undefined || (isIncomplete && !open.headersSent)) {
			const {code, response} = connectionRejection.createRejection(err);
			this.options.log.write(eventLog.LogEvent.RequestRejected, {code, findings: `connection: ${err.message}`});
			socket.write(response);
			clients.connections.closeLingering(socket, clients.connections.minLingerMs);
		} else {
			// The invalid bytes follow a request that has been read.
			this.options.closeAfter(open);
		}
	}
}
