import type * as core from '@bluebellmast/core';

/** Formats an event as text, without its time and VM. */
export function describeEvent(event: core.timeline.TimelineEvent): string {
	const {requestId, endpoint, account, generation, detail} = event;
	const parts = [
		event.type,
		requestId && `request=${requestId}`,
		endpoint && `endpoint=${endpoint}`,
		account && `account=${account}`,
		generation !== undefined && `generation=${generation}`,
		detail,
	];
	return parts.filter(part => typeof part === 'string' && part !== '').join(' ');
}

/** Formats an event's time in UTC, with the counter that orders events of the same millisecond. */
export function formatTime(event: core.timeline.TimelineEvent): string {
	return `${new Date(event.at).toISOString()}+${event.counter}`;
}
