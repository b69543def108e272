import {Buffer} from 'node:buffer';
import type * as http from 'node:http';

/** Sends a JSON response. */
export function sendJson(
	res: http.ServerResponse,
	status: number,
	body: unknown,
	headers: Readonly<Record<string, string>> = {},
): void {
	const text = JSON.stringify(body);
	res.writeHead(status, {
		'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers,
	});
	res.end(text);
}

/** Reads a request body as UTF-8 text. */
export async function readText(req: http.IncomingMessage): Promise<string> {
	const parts: Uint8Array[] = [];
	for await (const part of req) {
		parts.push(part as Uint8Array);
	}

	return Buffer.concat(parts).toString('utf8');
}

/** Reads a request body as JSON; an empty body gives an empty object. */
export async function readJson(req: http.IncomingMessage): Promise<unknown> {
	const text = await readText(req);
	return text === '' ? {} : JSON.parse(text) as unknown;
}

/** Returns the first value of a header, or an empty string; `name` is in lower case. */
export function headerOf(req: http.IncomingMessage, name: string): string {
	const value = req.headers[name];
	return (Array.isArray(value) ? value[0] : value) ?? '';
}

/** Returns the path of a request without the query. */
export function pathOf(req: http.IncomingMessage): string {
	return new URL(req.url ?? '/', 'http://stand-in').pathname;
}
