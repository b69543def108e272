import type * as core from '@bluebellmast/core';
import * as describeEvent from './describe-event.js';

// Control characters could move a terminal's cursor or change its state.
const controlPattern = /[\u0000-\u001F\u007F-\u009F]/g; // eslint-disable-line no-control-regex

/** Returns one line for each event. */
export function renderText(events: readonly core.timeline.TimelineEvent[]): string {
	return events.map(event => renderLine(event)).join('\n');
}

function renderLine(event: core.timeline.TimelineEvent): string {
	const line = `${describeEvent.formatTime(event)} ${event.vm} ${describeEvent.describeEvent(event)}`;
	return line.replaceAll(controlPattern, '?');
}
