import type * as ids from '../model/ids.js';

/** Fields of a load report that the table needs. */
export type SequencedReport = {
	readonly incarnation: ids.Incarnation;
	/** Increases with each report of an incarnation. */
	readonly sequence: number;
	/** Whether the endpoint itself reports that it is shutting down. */
	readonly leaving: boolean;
};

/** State of an endpoint, as this router knows it. */
export type EndpointState<Report extends SequencedReport> = {
	readonly endpoint: ids.EndpointId;
	readonly incarnation?: ids.Incarnation;
	readonly report?: Report;
	/** When the report was read, in milliseconds of this router's clock; 0 if it was never read. */
	readonly at: number;
	/** Whether its report or a notice from another router says that it is shutting down; the manifest is not considered. */
	readonly leaving: boolean;
	/** Whether the leader has asked the routers to send it no new requests. */
	readonly draining: boolean;
	readonly reachable: boolean;
};

/** Timeouts and limits of the table. */
export type EndpointTableOptions = {
	/** Milliseconds for which a leaving notice or the draining list stays valid without being renewed. */
	readonly noticeTtlMs: number;
	/** Consecutive failed reads after which an endpoint counts as unreachable. */
	readonly maxConsecutiveFailures: number;
	/** Age of the last report, in milliseconds, above which an endpoint counts as unreachable, whoever read it. */
	readonly maxReportAgeMs: number;
};

export const defaultEndpointTableOptions: EndpointTableOptions = {noticeTtlMs: 5000, maxConsecutiveFailures: 3, maxReportAgeMs: 10_000};

const maxEndedIncarnations = 4;

type Entry<Report> = {
	report: Report | undefined;
	at: number;
	consecutiveFailures: number;
	endedIncarnations: ids.Incarnation[];
	/** Time of the latest leaving notice for each incarnation. */
	readonly leavingNotices: Map<ids.Incarnation, number>;
};

/** Merges the reports and notices of several sources on the endpoints; an older report never replaces a newer one. */
export class EndpointTable<Report extends SequencedReport> {
	private readonly entries = new Map<ids.EndpointId, Entry<Report>>();
	private draining: {fencing: number; endpoints: ReadonlySet<ids.EndpointId>; at: number} | undefined;

	constructor(private readonly options: EndpointTableOptions = defaultEndpointTableOptions) {}

	/** Removes all endpoints but the given ones. */
	retain(endpoints: ReadonlySet<ids.EndpointId>): void {
		for (const endpoint of this.entries.keys()) {
			if (!endpoints.has(endpoint)) {
				this.entries.delete(endpoint);
			}
		}
	}

	/**
	 * Applies a load report that was read by this router or another one.
	 *
	 * @param at - When the report was read, in milliseconds of this router's clock.
	 * @returns Whether the report is newer than the stored one.
	 */
	applyReport(endpoint: ids.EndpointId, report: Report, at: number): boolean {
		const entry = this.getOrCreateEntry(endpoint);
		const known = entry.report;
		if (entry.endedIncarnations.includes(report.incarnation)) {
			return false;
		}

		if (known?.incarnation === report.incarnation && report.sequence <= known.sequence) {
			entry.at = Math.max(entry.at, at);
			return false;
		}

		if (known !== undefined && known.incarnation !== report.incarnation) {
			entry.endedIncarnations = [...entry.endedIncarnations, known.incarnation].slice(-maxEndedIncarnations);
		}

		entry.report = report;
		entry.at = Math.max(entry.at, at);
		return true;
	}

	/** Records whether a read by this router succeeded. */
	recordRead(endpoint: ids.EndpointId, succeeded: boolean): void {
		const entry = this.getOrCreateEntry(endpoint);
		entry.consecutiveFailures = succeeded ? 0 : entry.consecutiveFailures + 1;
	}

	/** Applies a notice from another router that an incarnation of an endpoint is shutting down. */
	applyLeavingNotice(endpoint: ids.EndpointId, incarnation: ids.Incarnation, now: number): void {
		const {leavingNotices: notices} = this.getOrCreateEntry(endpoint);
		// A renewed notice becomes the newest one.
		notices.delete(incarnation);
		notices.set(incarnation, now);
		if (notices.size > maxEndedIncarnations) {
			const [oldest] = notices.keys();
			notices.delete(oldest!);
		}
	}

	/** Applies the leader's list of endpoints that are to get no new requests. Ignores a list with a smaller fencing token. */
	applyDrainingList(fencing: number, endpoints: readonly ids.EndpointId[], now: number): void {
		if (this.draining === undefined || fencing >= this.draining.fencing) {
			this.draining = {fencing, endpoints: new Set(endpoints), at: now};
		}
	}

	/** Returns the state of an endpoint; one that is unknown is unreachable. */
	stateOf(endpoint: ids.EndpointId, now: number): EndpointState<Report> {
		const entry = this.entries.get(endpoint);
		const report = entry?.report;
		return {
			endpoint,
			...(report !== undefined && {incarnation: report.incarnation, report}),
			at: entry?.at ?? 0,
			leaving: this.isLeaving(entry, now),
			draining: this.isDraining(endpoint, now),
			reachable: this.isReachable(entry, now),
		};
	}

	private isLeaving(entry: Entry<Report> | undefined, now: number): boolean {
		if (entry?.report === undefined) {
			return entry !== undefined && [...entry.leavingNotices.values()].some(at => now - at <= this.options.noticeTtlMs);
		}

		const noticedAt = entry.leavingNotices.get(entry.report.incarnation);
		return entry.report.leaving || (noticedAt !== undefined && now - noticedAt <= this.options.noticeTtlMs);
	}

	private isDraining(endpoint: ids.EndpointId, now: number): boolean {
		return this.draining !== undefined
			&& now - this.draining.at <= this.options.noticeTtlMs
			&& this.draining.endpoints.has(endpoint);
	}

	private isReachable(entry: Entry<Report> | undefined, now: number): boolean {
		return entry?.report !== undefined
			&& entry.consecutiveFailures < this.options.maxConsecutiveFailures
			&& now - entry.at <= this.options.maxReportAgeMs;
	}

	private getOrCreateEntry(endpoint: ids.EndpointId): Entry<Report> {
		let entry = this.entries.get(endpoint);
		if (entry === undefined) {
			entry = {
				report: undefined, at: 0, consecutiveFailures: 0, endedIncarnations: [], leavingNotices: new Map(),
			};
			this.entries.set(endpoint, entry);
		}

		return entry;
	}
}
