// Control characters could move a terminal's cursor or change its state.
const controlPattern = /[\u0000-\u001F\u007F-\u009F]/g; // eslint-disable-line no-control-regex

/** Returns a line without characters that a terminal would obey. */
export function replaceControlCharacters(line: string): string {
	return line.replaceAll(controlPattern, '?');
}
