import type * as core from '@bluebellmast/core';
import * as replaceControlCharacters from './replace-control-characters.js';

const indent = '  ';

/** Renders the log lines of a request as text: first the state of each VM when the request arrived, then the lines in order. */
export function renderRequestTrace(trace: core.log.RequestExplanation): string {
	if (trace.lines.length === 0) {
		return `no log line of request ${trace.request}`;
	}

	const firstAt = trace.lines[0]!.at;
	const stateLines = trace.vmStates.flatMap(({vm, lines}) => [
		`state of ${vm} when the request arrived:`,
		...lines.map(line => `${indent}${renderLine(line, firstAt)}`),
	]);
	const requestLines = trace.lines.map(line => `${indent}${line.vm} ${renderLine(line, firstAt)}`);
	return [...stateLines, `request ${trace.request}:`, ...requestLines, ...listWarnings(trace)]
		.map(line => replaceControlCharacters.replaceControlCharacters(line))
		.join('\n');
}

/** Renders a log line; its time is relative to the first line of the request. */
function renderLine({at, event, fields}: core.log.LogLine, firstAt: number): string {
	const sign = at < firstAt ? '' : '+';
	const values = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
	return [`${sign}${at - firstAt} ms`, event, ...values].join(' ');
}

function listWarnings(trace: core.log.RequestExplanation): string[] {
	const warnings: string[] = [];
	if (!trace.isComplete) {
		warnings.push('the final log line is missing: the process ended before writing it, or the line was dropped');
	}

	if (trace.droppedLines > 0) {
		warnings.push(`${trace.droppedLines} log lines were dropped at about the time of the request`);
	}

	return warnings;
}
