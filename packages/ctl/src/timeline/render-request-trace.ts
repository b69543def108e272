import type * as core from '@bluebellmast/core';
import * as replaceControlCharacters from './replace-control-characters.js';

const indent = '  ';

/** Returns the story of a request as text, one line an event. */
export function renderRequestTrace(trace: core.log.RequestStory): string {
	if (trace.lines.length === 0) {
		return `no line of request ${trace.request}`;
	}

	const firstAt = trace.lines[0]!.at;
	const stateLines = trace.beliefs.flatMap(({vm, lines}) => [
		`${vm} believed when the request came:`,
		...lines.map(line => `${indent}${renderLine(line, firstAt)}`),
	]);
	const requestLines = trace.lines.map(line => `${indent}${line.vm} ${renderLine(line, firstAt)}`);
	return [...stateLines, `request ${trace.request}:`, ...requestLines, ...listWarnings(trace)]
		.map(line => replaceControlCharacters.replaceControlCharacters(line))
		.join('\n');
}

/** Times count from the first line of the request. */
function renderLine({at, event, fields}: core.log.LogLine, firstAt: number): string {
	const sign = at < firstAt ? '' : '+';
	const values = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
	return [`${sign}${at - firstAt} ms`, event, ...values].join(' ');
}

function listWarnings(story: core.log.RequestStory): string[] {
	const caveats: string[] = [];
	if (!story.isComplete) {
		caveats.push('the final line is missing: the process ended before it, or the line was dropped');
	}

	if (story.droppedLines > 0) {
		caveats.push(`${story.droppedLines} lines were dropped around the request`);
	}

	return caveats;
}
