import type * as http from 'node:http';
import type * as net from 'node:net';
import * as clients from '@bluebellmast/kv';

/** Descriptors that a process keeps for files. */
const fileDescriptors = 200;
/** Share of the other descriptors for connections of callers; endpoints, the store and other VMs need the rest. */
const callerShare = 0.75;
/** Share of the process's memory for these connections, and the memory that one takes, in bytes: the objects of a request, 64 KiB that are read at once, and as much in the kernel. */
const memoryShare = 0.25;
const connectionMemoryBytes = 163_840;
/** Connections that a process may hold in any case, however little its memory. */
const minConnections = 64;
/** Share of the process's memory for incomplete heads, and the memory of a byte of a head with many short headers. */
const headMemoryShare = 0.125;
const headMemoryFactor = 16;

/** Limits of a process, as far as they are known. */
export type ProcessLimits = {
	readonly memoryBytes?: number;
	readonly descriptors?: number;
};

/** Returns how many connections of callers a process may hold at once; `Infinity` without limits. */
export function computeMaxConnections({memoryBytes = Infinity, descriptors = Infinity}: ProcessLimits): number {
	const byDescriptors = (descriptors - fileDescriptors) * callerShare;
	const byMemory = memoryBytes * memoryShare / connectionMemoryBytes;
	return Math.max(minConnections, Math.floor(Math.min(byDescriptors, byMemory)));
}

/** Returns the bytes that the incomplete heads of all connections may have; `Infinity` without a limit. */
export function computeMaxHeadBytes(memoryBytes = Infinity): number {
	return memoryBytes * headMemoryShare / headMemoryFactor;
}

/** What a connection is used for, in the order in which connections are closed for others. */
enum ConnectionUse {
	/** Its last response was sent, and only its end is awaited. */
	Closing,
	/** A response was sent, and no further request has begun. */
	Idle,
	/** A request is being received, or the first one is awaited. */
	Receiving,
	/** A request was received and has no complete response. */
	Responding,
}

/** A connection of a caller. */
type Connection = {
	/** Response to the last request that began. */
	res?: http.ServerResponse;
	/** When the last response ended or the connection began, in milliseconds of the monotonic clock, and the bytes that had been read by then. */
	since: number;
	bytesBefore: number;
	/** Whether it is being closed, unless a request arrives meanwhile. */
	isClosing: boolean;
};

/** Time from which on a connection counts by its progress, in milliseconds. */
const minProgressMs = 1000;

/** Open connections of callers. When there are too many, those are closed that serve least. */
export class CallerConnections {
	/** In the order of their last response, or of their begin. */
	readonly #connections = new Map<net.Socket, Connection>();
	#closingCount = 0;

	/**
	 * @param maxConnections - Number of connections at most.
	 * @param maxHeadBytes - Bytes of incomplete heads at most, over all connections; in memory they take several times as much.
	 */
	constructor(readonly maxConnections = Infinity, readonly maxHeadBytes = Infinity) {}

	/** Number of open connections. */
	get size(): number {
		return this.#connections.size;
	}

	/**
	 * Adds a connection.
	 *
	 * @returns Whether there is room for it, also by closing another one; otherwise it is not added.
	 */
	add(socket: net.Socket, now: number): boolean {
		if (this.#connections.size - this.#closingCount >= this.maxConnections && !this.#closeOne(now)) {
			return false;
		}

		this.#connections.set(socket, {since: now, bytesBefore: 0, isClosing: false});
		socket.once('close', () => {
			this.#connections.delete(socket);
		});
		return true;
	}

	/** Records that a request begins. */
	onRequest(res: http.ServerResponse): void {
		const connection = this.#connections.get(res.req.socket);
		if (connection !== undefined) {
			connection.res = res;
		}
	}

	/** Records that a response has ended. */
	onResponseEnd(socket: net.Socket, now: number): void {
		const connection = this.#connections.get(socket);
		if (connection !== undefined) {
			connection.since = now;
			connection.bytesBefore = socket.bytesRead;
			this.#connections.delete(socket);
			this.#connections.set(socket, connection);
		}
	}

	/** Closes connections with an incomplete head, the oldest first, as far as all of these heads take too much. @returns Those that were closed. */
	closeSlowHeads(): net.Socket[] {
		let headBytes = 0;
		const receiving = [...this.#connections].filter(([socket, connection]) => {
			const bytes = countHeadBytes(socket, connection);
			headBytes += bytes;
			return bytes > 0;
		});
		const closed: net.Socket[] = [];
		for (const [socket, connection] of receiving) {
			if (headBytes <= this.maxHeadBytes) {
				break;
			}

			headBytes -= countHeadBytes(socket, connection);
			closed.push(socket);
			socket.destroy();
		}

		return closed;
	}

	/**
	 * Closes the connection with the least use: of those that receive a request the one with the least progress, of all others the oldest.
	 *
	 * @returns Whether there is one.
	 */
	#closeOne(now: number): boolean {
		let victim: net.Socket | undefined;
		let leastUse = ConnectionUse.Responding;
		let leastProgress = Infinity;
		for (const [socket, connection] of this.#connections) {
			const use = getUse(socket, connection);
			const progress = use === ConnectionUse.Receiving ? computeProgress(socket, connection, now) : Infinity;
			if (!connection.isClosing && (use < leastUse || (use === leastUse && progress < leastProgress))) {
				victim = socket;
				leastUse = use;
				leastProgress = progress;
			}

			if (use === ConnectionUse.Closing) {
				break;
			}
		}

		if (victim === undefined) {
			return false;
		}

		if (leastUse === ConnectionUse.Idle) {
			void this.#closeIdle(victim);
		} else {
			this.#connections.delete(victim);
			victim.destroy();
		}

		return true;
	}

	/** Closes an idle connection unless a request arrives on it. */
	async #closeIdle(socket: net.Socket): Promise<void> {
		const connection = this.#connections.get(socket)!;
		connection.isClosing = true;
		this.#closingCount += 1;
		await clients.connections.closeIdle(socket);
		connection.isClosing = false;
		this.#closingCount -= 1;
	}
}

/** Returns the bytes of a head that is not complete; 0 if there is none. */
function countHeadBytes(socket: net.Socket, {res, bytesBefore}: Connection): number {
	return socket.writableEnded || res?.closed === false ? 0 : socket.bytesRead - bytesBefore;
}

/** Returns the bytes that were received in a millisecond of late; `Infinity` if it is too early to say. */
function computeProgress(socket: net.Socket, {since, bytesBefore}: Connection, now: number): number {
	return now - since < minProgressMs ? Infinity : (socket.bytesRead - bytesBefore) / (now - since);
}

function getUse(socket: net.Socket, {res, bytesBefore}: Connection): ConnectionUse {
	if (socket.writableEnded) {
		return ConnectionUse.Closing;
	}

	if (res !== undefined && !res.closed) {
		return res.req.complete ? ConnectionUse.Responding : ConnectionUse.Receiving;
	}

	return res === undefined || socket.bytesRead > bytesBefore ? ConnectionUse.Receiving : ConnectionUse.Idle;
}
