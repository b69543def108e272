/** Hop-by-hop headers according to RFC 9110 and older practice. */
const connectionHeaders = [
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'proxy-connection',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
];

/**
 * Lists the hop-by-hop headers of a message, which must not be forwarded.
 *
 * @param rawHeaders - Alternating names and values.
 * @returns Names in lower case: the standard ones and those that the `Connection` headers of the message list.
 */
export function listConnectionHeaders(rawHeaders: readonly string[]): ReadonlySet<string> {
	const names = new Set(connectionHeaders);
	for (let index = 0; index + 1 < rawHeaders.length; index += 2) {
		if (rawHeaders[index]!.toLowerCase() === 'connection') {
			for (const name of rawHeaders[index + 1]!.split(',')) {
				names.add(name.trim().toLowerCase());
			}
		}
	}

	return names;
}
