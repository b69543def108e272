import * as worker from 'node:worker_threads';

/** Blocks the event loop in its check phase, so that timers that become due run before sockets are read. */
export async function blockEventLoop(blockedMs: number): Promise<void> {
	return new Promise(resolve => {
		setImmediate(() => {
			setImmediate(resolve);
			const until = performance.now() + blockedMs;
			while (performance.now() < until) {} // eslint-disable-line no-empty -- Blocks the event loop.
		});
	});
}

/** What a {@link ThreadCaller} has seen of its connection. */
export type SeenByCaller = {
	readonly received: string;
	/** Error of the connection, for example that it was reset. */
	readonly error?: string;
	/** Time from the connect to the end of the server's side, in milliseconds. */
	readonly endedAfterMs?: number;
};

const callerCode = `
const {parentPort, workerData: {port, writes, endMs}} = require('node:worker_threads');
const net = require('node:net');
const socket = net.connect({port, host: '127.0.0.1', allowHalfOpen: true});
let received = '';
let error;
let connectedAt;
let endedAfterMs;
socket.on('connect', () => { connectedAt = performance.now(); });
const finish = () => {
	parentPort.postMessage({received, error, endedAfterMs});
	socket.destroy();
};
const timer = setTimeout(finish, endMs);
socket.on('data', data => { received += data.toString('latin1'); });
socket.on('error', err => { error = err.code; });
socket.on('close', () => { clearTimeout(timer); finish(); });
socket.on('end', () => {
	endedAfterMs = performance.now() - connectedAt;
	let lastMs = 0;
	for (const {afterEndMs, text} of writes.filter(write => write.afterEndMs !== undefined)) {
		setTimeout(() => { socket.write(text, 'latin1'); }, afterEndMs);
		lastMs = afterEndMs;
	}
	setTimeout(() => { socket.end(); }, lastMs + 100);
});
for (const {atMs, text} of writes.filter(write => write.atMs !== undefined)) {
	setTimeout(() => { socket.write(text, 'latin1'); }, atMs);
}
`;

/** Text that a caller writes, and when, in milliseconds: after its start, or after the server has ended its side of the connection. */
export type CallerWrite = {readonly atMs: number; readonly text: string} | {readonly afterEndMs: number; readonly text: string};

/**
 * Connects to a port from another thread, so that it goes on while the event loop of this one is blocked.
 *
 * @returns What the caller has seen when its connection was closed, or after `endMs`.
 */
export async function runThreadCaller(port: number, writes: readonly CallerWrite[], endMs: number): Promise<SeenByCaller> {
	const caller = new worker.Worker(callerCode, {eval: true, workerData: {port, writes, endMs}});
	return new Promise((resolve, reject) => {
		caller.once('message', seen => {
			resolve(seen as SeenByCaller);
		});
		caller.once('error', reject);
	});
}
