import type * as core from '@bluebellmast/core';
import * as describeEvent from './describe-event.js';
import * as terminalText from './terminal-text.js';

/** Returns one line for each event. */
export function renderText(events: readonly core.timeline.TimelineEvent[]): string {
	return events.map(event => renderLine(event)).join('\n');
}

function renderLine(event: core.timeline.TimelineEvent): string {
	return terminalText.toTerminalText(`${describeEvent.formatTime(event)} ${event.vm} ${describeEvent.describeEvent(event)}`);
}
