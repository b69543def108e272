import type * as endpointEntry from './endpoint-entry.js';

/** Whether an endpoint is sent new requests; the values are listed from the most to the least preferred. */
export enum EndpointAvailability {
	Available = 'available',
	/** Another VM reports that the endpoint is leaving; it is used if no available endpoint has capacity. */
	ReportedLeaving = 'reported_leaving',
	/** The endpoint told this VM that it is leaving, but still serves; it is used if there is no other endpoint. */
	LastResort = 'last_resort',
	/** The endpoint told this VM that it is leaving, and the time within which it may get new requests has passed. */
	Unavailable = 'unavailable',
}

/** Endpoints of the same availability. */
export type AvailabilityGroup = {
	readonly availability: EndpointAvailability;
	readonly entries: readonly endpointEntry.EndpointEntry[];
};

/** Times of {@link LeavingEndpoints}, in milliseconds. */
export type LeavingOptions = {
	/** Time after a notice within which the endpoint may still get new requests; 0 if none are allowed. */
	readonly drainMs: number;
	/** Time for which a report of another VM is used. */
	readonly reportLifetimeMs: number;
	/** Time for which a notice is kept after its incarnation was last listed. */
	readonly unlistedLifetimeMs: number;
};

/**
 * VMs repeat their reports every few hundred milliseconds, or seconds in large fleets. A store that is restored from a copy some
 * seconds old may list an endpoint again that has left, so notices outlive the listing by more than that.
 */
export const defaultLeavingOptions: LeavingOptions = {drainMs: 0, reportLifetimeMs: 5000, unlistedLifetimeMs: 60_000};

type Notice = {
	readonly endpoint: endpointEntry.EndpointIncarnation;
	readonly noticedAt: number;
	/** When the incarnation was first found not to be listed; absent while it is listed. */
	unlistedAt?: number;
};

const preferenceOrder: readonly EndpointAvailability[] = [
	EndpointAvailability.Available, EndpointAvailability.ReportedLeaving, EndpointAvailability.LastResort,
];

/**
 * Endpoints that announced in a response that they are leaving. A notice holds for one incarnation, until that is no longer
 * listed. All times are in milliseconds of a clock that includes suspensions of the VM, since endpoints leave in real time.
 */
export class LeavingEndpoints {
	/** Notices that this VM received, by incarnation; the oldest first. */
	readonly #notices = new Map<string, Notice>();
	/** When another VM last reported an incarnation as leaving. */
	readonly #reportedAt = new Map<string, number>();
	readonly #options: LeavingOptions;

	constructor(options: Partial<LeavingOptions> = {}) {
		this.#options = {...defaultLeavingOptions, ...options};
	}

	/** Number of notices and reports. */
	get size(): number {
		return this.#notices.size + this.#reportedAt.size;
	}

	/** Records a notice that this VM received. @returns Whether it is the first one of the incarnation. */
	recordNotice(endpoint: endpointEntry.EndpointIncarnation, now: number): boolean {
		const key = keyOf(endpoint);
		if (this.#notices.has(key)) {
			return false;
		}

		this.#notices.set(key, {endpoint: {id: endpoint.id, bornAt: endpoint.bornAt}, noticedAt: now});
		return true;
	}

	/** Records that another VM received a notice. */
	recordReport(endpoint: endpointEntry.EndpointIncarnation, now: number): void {
		this.#reportedAt.set(keyOf(endpoint), now);
	}

	/** Returns whether an endpoint told this VM that it is leaving. */
	isLeaving(endpoint: endpointEntry.EndpointIncarnation): boolean {
		return this.#notices.has(keyOf(endpoint));
	}

	/** Decides whether an endpoint is sent new requests. */
	availabilityOf(endpoint: endpointEntry.EndpointIncarnation, now: number): EndpointAvailability {
		const key = keyOf(endpoint);
		const notice = this.#notices.get(key);
		if (notice !== undefined) {
			return now - notice.noticedAt < this.#options.drainMs ? EndpointAvailability.LastResort : EndpointAvailability.Unavailable;
		}

		const reportedAt = this.#reportedAt.get(key) ?? -Infinity;
		return now - reportedAt < this.#options.reportLifetimeMs ? EndpointAvailability.ReportedLeaving : EndpointAvailability.Available;
	}

	/** Groups the endpoints that may be sent new requests, the most preferred first. */
	groupByAvailability(entries: readonly endpointEntry.EndpointEntry[], now: number): AvailabilityGroup[] {
		if (this.size === 0) {
			return [{availability: EndpointAvailability.Available, entries}];
		}

		return preferenceOrder.map(availability => ({
			availability, entries: entries.filter(entry => this.availabilityOf(entry, now) === availability),
		}));
	}

	/** Returns the incarnations whose notices this VM received and which are still listed, the latest first. */
	listNoticed(maxCount: number): endpointEntry.EndpointIncarnation[] {
		return [...this.#notices.values()]
			.filter(notice => notice.unlistedAt === undefined)
			.slice(-maxCount)
			.reverse()
			.map(notice => notice.endpoint);
	}

	/** Drops what concerns incarnations that are no longer listed, and expired reports. */
	retain(listed: readonly endpointEntry.EndpointIncarnation[], now: number): void {
		const listedKeys = new Set(listed.map(endpoint => keyOf(endpoint)));
		for (const [key, reportedAt] of this.#reportedAt) {
			if (!listedKeys.has(key) || now - reportedAt >= this.#options.reportLifetimeMs) {
				this.#reportedAt.delete(key);
			}
		}

		for (const [key, notice] of this.#notices) {
			notice.unlistedAt = listedKeys.has(key) ? undefined : notice.unlistedAt ?? now;
			if (notice.unlistedAt !== undefined && now - notice.unlistedAt >= this.#options.unlistedLifetimeMs) {
				this.#notices.delete(key);
			}
		}
	}
}

function keyOf({id, bornAt}: endpointEntry.EndpointIncarnation): string {
	return `${id}/${bornAt}`;
}
