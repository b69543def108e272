import * as net from 'node:net';
import * as zod from 'zod';

const maxDurationMs = 30 * 24 * 60 * 60 * 1000;
const maxPort = 65_535;

/** Schema of the name of a VM, account, model, endpoint and the like; it contains no spaces. */
export function name() {
	return zod.string().regex(/^[\w.:-]{1,128}$/, 'expected a name of 1 to 128 letters, digits, \'_\', \'.\', \':\' or \'-\'');
}

/** Schema of the version of a model or adapter. */
export function version() {
	return zod.string().regex(/^[\w.:-]{1,128}$/, 'expected a version of 1 to 128 letters, digits, \'_\', \'.\', \':\' or \'-\'; quote a number');
}

/** Schema of an IP address. Host names are rejected, since they are not resolved. */
export function ipNumber() {
	return zod.string().refine(text => net.isIP(text) !== 0, 'expected an IP address');
}

/** Schema of a TCP or UDP port; with `allowAny` also 0, for which the operating system chooses a port to listen on. */
export function port(options: {readonly allowAny?: boolean} = {}) {
	return zod.int().min(options.allowAny ? 0 : 1).max(maxPort);
}

/** Schema of an HTTP or HTTPS URL whose host is an IP address. */
export function httpUrl() {
	return zod.string().refine(isNumericHttpUrl, 'expected an HTTP URL with an IP address, such as http://192.0.2.1:2379');
}

/** Schema of a duration in milliseconds, of 30 days at most. */
export function durationMs() {
	return zod.int().min(1).max(maxDurationMs);
}

/** Schema of an integer of at least 1. */
export function count() {
	return zod.int().min(1);
}

/** Schema of a SHA-256 hash in lower-case hex. */
export function sha256Hex() {
	return zod.string().regex(/^[\da-f]{64}$/, 'expected a SHA-256 hash of 64 lower-case hex digits');
}

function isNumericHttpUrl(text: string): boolean {
	if (!URL.canParse(text)) {
		return false;
	}

	const url = new URL(text);
	const host = url.hostname.replace(/^\[(.*)]$/, '$1');
	return (url.protocol === 'http:' || url.protocol === 'https:') && net.isIP(host) !== 0;
}
