import type * as core from '@bluebellmast/core';
import * as terminalText from './terminal-text.js';

const indent = '  ';

/** Returns the story of a request as text, one line an event. */
export function renderStory(story: core.log.RequestExplanation): string {
	if (story.lines.length === 0) {
		return `no line of request ${story.request}`;
	}

	const firstAt = story.lines[0]!.at;
	const beliefs = story.vmStates.flatMap(({vm, lines}) => [
		`${vm} believed when the request came:`,
		...lines.map(line => `${indent}${renderLine(line, firstAt)}`),
	]);
	const own = story.lines.map(line => `${indent}${line.vm} ${renderLine(line, firstAt)}`);
	return [...beliefs, `request ${story.request}:`, ...own, ...listCaveats(story)]
		.map(line => terminalText.toTerminalText(line))
		.join('\n');
}

/** Times count from the first line of the request. */
function renderLine({at, event, fields}: core.log.LogLine, firstAt: number): string {
	const sign = at < firstAt ? '' : '+';
	const values = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
	return [`${sign}${at - firstAt} ms`, event, ...values].join(' ');
}

function listCaveats(story: core.log.RequestExplanation): string[] {
	const caveats: string[] = [];
	if (!story.isComplete) {
		caveats.push('the final line is missing: the process ended before it, or the line was dropped');
	}

	if (story.droppedLines > 0) {
		caveats.push(`${story.droppedLines} lines were dropped around the request`);
	}

	return caveats;
}
