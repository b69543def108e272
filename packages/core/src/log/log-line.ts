import * as logEvent from './log-event.js';

/** A value in a log line. */
export type LogValue = string | number | boolean;

/** A parsed line of the log of a process. */
export type LogLine = {
	/** Time of writing by the clock of the VM, in milliseconds since the Unix epoch. */
	readonly at: number;
	readonly vm: string;
	readonly event: logEvent.LogEvent;
	readonly fields: Readonly<Record<string, LogValue>>;
};

const knownEvents: ReadonlySet<string> = new Set(Object.values(logEvent.LogEvent));

/**
 * Parses a line of a log. Text before the JSON object, such as the timestamp of a log collector, is skipped.
 *
 * @returns `undefined` when the text is not a line of a gateway's log.
 */
export function parseLogLine(text: string): LogLine | undefined {
	const start = text.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	const parsed = parseObject(text.slice(start));
	if (parsed === undefined) {
		return undefined;
	}

	const {at, vm, event, ...fields} = parsed;
	return typeof at === 'number' && typeof vm === 'string' && typeof event === 'string' && knownEvents.has(event)
		? {
			at, vm, event: event as logEvent.LogEvent, fields,
		}
		: undefined;
}

function parseObject(text: string): Readonly<Record<string, LogValue>> | undefined {
	try {
		const value = JSON.parse(text) as unknown;
		return typeof value === 'object' && value !== null && !Array.isArray(value) ? value as Record<string, LogValue> : undefined;
	} catch {
		// The line was truncated or was not written by a gateway; the caller counts such lines.
		return undefined;
	}
}
