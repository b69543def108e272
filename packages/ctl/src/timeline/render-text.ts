import type * as core from '@bluebellmast/core';
import * as describeEvent from './describe-event.js';
import * as replaceControlCharacters from './replace-control-characters.js';

/** Renders events as text, one line per event. */
export function renderText(events: readonly core.timeline.TimelineEvent[]): string {
	return events.map(event => renderLine(event)).join('\n');
}

function renderLine(event: core.timeline.TimelineEvent): string {
	return replaceControlCharacters.replaceControlCharacters(`${describeEvent.formatTime(event)} ${event.vm} ${describeEvent.describeEvent(event)}`);
}
