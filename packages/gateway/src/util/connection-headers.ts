/** Headers that concern one connection only, by RFC 9110 and older practice. */
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
 * Lists the headers of a message that must not be passed on to another connection.
 *
 * @param rawHeaders - Names and values by turns.
 * @returns Names in lower case: the usual ones and those that the message's own `Connection` header declares.
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
