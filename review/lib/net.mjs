// Small helpers for the stand-ins' servers.
import {Buffer} from 'node:buffer';

/** Listens on a port of a loopback address; 0 stands for any free one. Returns IP:PORT. */
export async function listen(server, host, port = 0) {
	await new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	return `${host}:${server.address().port}`;
}

/** Returns the text of a body, or undefined if it was not sent as a whole. */
export async function readBody(req) {
	try {
		const chunks = [];
		for await (const chunk of req) {
			chunks.push(chunk);
		}

		return Buffer.concat(chunks).toString();
	} catch {
		// The other side has closed the connection.
		return undefined;
	}
}

export function sendJson(res, status, value, headers = {}) {
	send(res, status, JSON.stringify(value), headers);
}

export function send(res, status, body, headers = {}) {
	res.writeHead(status, {'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body), ...headers});
	res.end(body);
}

export async function sleep(ms) {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
