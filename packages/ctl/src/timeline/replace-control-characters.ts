const controlPattern = /[\u0000-\u001F\u007F-\u009F]/g; // eslint-disable-line no-control-regex

/** Replaces control characters by `?`, since they could move a terminal's cursor or change its state. */
export function replaceControlCharacters(line: string): string {
	return line.replaceAll(controlPattern, '?');
}
