import * as records from './platform-records.js';

/** Returns whether a gateway was in touch from `from` to `to`: no disruption or block of its process, its link or the store's in the settle window before. */
export function isInTouch(record: records.PlatformRecord, gateway: string, from: number, to: number): boolean {
	const own = new Set([records.DisruptionTarget.Gateway, records.DisruptionTarget.StoreLink]);
	return isStoreCalm(record, from, to) && areServerLinksCalm(record, from, to)
		&& !hasDisruption(record, from, to, ({target, name}) => own.has(target) && name === gateway)
		&& !(record.blocks ?? []).some(block => block.gateway === gateway && block.from <= to && block.to >= from - record.bounds.settleWindowMs);
}

/**
 * Returns whether a gateway was in touch while it handled a request, as far as the loss of the request is concerned: a disruption
 * of the store alone excuses nothing for safe and unsafe requests without an API key, and a block nothing for any.
 */
export function isInTouchForLoss(record: records.PlatformRecord, exchange: records.Exchange): boolean {
	const {gateway, sentAt, endedAt} = exchange;
	return isInTouch({...(isBoundWithoutStore(exchange) ? withoutStoreDisruptions(record) : record), blocks: []}, gateway, sentAt, endedAt);
}

/** Returns whether an unplanned disruption excuses the loss of a request: any from the settle window before it to its end. */
export function hasUnplannedDisruption(record: records.PlatformRecord, exchange: records.Exchange): boolean {
	return hasDisruption(record, exchange.sentAt, exchange.endedAt, ({isPlanned, target}) =>
		!isPlanned && !(target === records.DisruptionTarget.Store && isBoundWithoutStore(exchange)));
}

function isBoundWithoutStore({kind, key}: records.Exchange): boolean {
	return key === '' && (kind === records.RequestKind.Safe || kind === records.RequestKind.Unsafe);
}

function withoutStoreDisruptions(record: records.PlatformRecord): records.PlatformRecord {
	return {...record, disruptions: record.disruptions.filter(({target}) => target !== records.DisruptionTarget.Store)};
}

/** Returns whether the store had no disruption from the settle window before `from` to `to`. */
export function isStoreCalm(record: records.PlatformRecord, from: number, to: number): boolean {
	return !hasDisruption(record, from, to, ({target}) => target === records.DisruptionTarget.Store);
}

/** Returns whether no link to a server was disrupted from the settle window before `from` to `to`. */
export function areServerLinksCalm(record: records.PlatformRecord, from: number, to: number): boolean {
	return !hasDisruption(record, from, to, ({target}) => target === records.DisruptionTarget.ServerLink);
}

/** Returns whether a matching disruption overlaps the period that begins the settle window before `from` and ends at `to`. */
export function hasDisruption(
	record: records.PlatformRecord,
	from: number,
	to: number,
	matches: (disruption: records.Disruption) => boolean,
): boolean {
	return record.disruptions.some(disruption =>
		matches(disruption) && disruption.from <= to && disruption.to >= from - record.bounds.settleWindowMs);
}

/**
 * Returns the start of the calm stretch that lasts until `until`: `from`, or the settle window after the last disruption
 * of the store or of any link.
 */
export function findCalmStretchStart(record: records.PlatformRecord, from: number, until: number): number {
	const links = new Set([records.DisruptionTarget.Store, records.DisruptionTarget.StoreLink, records.DisruptionTarget.ServerLink]);
	const ends = record.disruptions
		.filter(({target, from: beginsAt}) => links.has(target) && beginsAt <= until)
		.map(({to}) => to + record.bounds.settleWindowMs);
	return Math.max(from, ...ends);
}
