import * as net from 'node:net';
import * as zod from 'zod';

const maxDurationMs = 30 * 24 * 60 * 60 * 1000;
const maxPort = 65_535;

/** A name without blanks, as VMs, accounts, models and endpoints have. */
export function name() {
	return zod.string().regex(/^[\w.:-]{1,128}$/, 'expected a name of 1 to 128 letters, digits, \'_\', \'.\', \':\' or \'-\'');
}

/** A version of a model or adapter. */
export function version() {
	return zod.string().regex(/^[\w.:-]{1,128}$/, 'expected a version of 1 to 128 letters, digits, \'_\', \'.\', \':\' or \'-\'; quote a number');
}

/** An IP number; names are refused since nothing resolves them. */
export function ipNumber() {
	return zod.string().refine(text => net.isIP(text) !== 0, 'expected an IP number');
}

/** A TCP or UDP port; 0 lets the machine choose where listening allows it. */
export function port(options: {readonly allowAny?: boolean} = {}) {
	return zod.int().min(options.allowAny ? 0 : 1).max(maxPort);
}

/** An HTTP URL whose host is an IP number. */
export function httpUrl() {
	return zod.string().refine(isNumericHttpUrl, 'expected an HTTP URL by IP number, such as http://192.0.2.1:2379');
}

/** A duration in milliseconds. */
export function durationMs() {
	return zod.int().min(1).max(maxDurationMs);
}

/** A whole number of at least 1. */
export function count() {
	return zod.int().min(1);
}

/** A SHA-256 hash as lower-case hex. */
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
