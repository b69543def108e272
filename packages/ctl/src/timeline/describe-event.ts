import type * as core from '@bluebellmast/core';

/** Returns an event's fields but time and VM, as text. */
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

/** Returns an event's time in UTC with its counter. */
export function formatTime(event: core.timeline.TimelineEvent): string {
	return `${new Date(event.at).toISOString()}+${event.counter}`;
}
