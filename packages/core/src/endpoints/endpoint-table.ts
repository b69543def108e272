import type * as ids from '../model/ids.js';

/** What the table needs of a load report. */
export type SequencedReport = {
	readonly incarnation: ids.Incarnation;
	/** Grows with each report of an incarnation. */
	readonly sequence: number;
	readonly leaving: boolean;
};

/** An endpoint as this router knows it. */
export type EndpointState<Report extends SequencedReport> = {
	readonly endpoint: ids.EndpointId;
	readonly incarnation?: ids.Incarnation;
	readonly report?: Report;
	/** When the report was read, in milliseconds of this router's clock; 0 for never. */
	readonly at: number;
	/** Whether any source but the manifest says that it goes away. */
	readonly leaving: boolean;
	/** Whether the leader has asked for no new requests for now. */
	readonly draining: boolean;
	readonly reachable: boolean;
};

/** Times and limits of the table. */
export type EndpointTableOptions = {
	/** Milliseconds for which a notice counts without being repeated. */
	readonly noticeTtlMs: number;
	/** Failed reads in a row after which an endpoint counts as unreachable. */
	readonly maxConsecutiveFailures: number;
	/** Milliseconds without a report after which an endpoint that others watch counts as unreachable. */
	readonly maxReportAgeMs: number;
};

/** Defaults of the options. */
export const defaultEndpointTableOptions: EndpointTableOptions = {noticeTtlMs: 5000, maxConsecutiveFailures: 3, maxReportAgeMs: 10_000};

const maxPastIncarnations = 4;

type Entry<Report> = {
	report: Report | undefined;
	at: number;
	consecutiveFailures: number;
	pastIncarnations: ids.Incarnation[];
	/** Notices of leaving by incarnation, with the time of the last. */
	readonly leavingNotices: Map<ids.Incarnation, number>;
};

/** Merges what several sources say of the endpoints; older news never takes the place of newer. */
export class EndpointTable<Report extends SequencedReport> {
	private readonly entries = new Map<ids.EndpointId, Entry<Report>>();
	private draining: {fencing: number; endpoints: ReadonlySet<ids.EndpointId>; at: number} | undefined;

	constructor(private readonly options: EndpointTableOptions = defaultEndpointTableOptions) {}

	/** Keeps only these endpoints. */
	retain(endpoints: ReadonlySet<ids.EndpointId>): void {
		for (const endpoint of this.entries.keys()) {
			if (!endpoints.has(endpoint)) {
				this.entries.delete(endpoint);
			}
		}
	}

	/**
	 * Takes a report, read by this router or another.
	 *
	 * @param at - When it was read, in milliseconds of this router's clock.
	 * @returns Whether it is newer than what was known.
	 */
	applyReport(endpoint: ids.EndpointId, report: Report, at: number): boolean {
		const entry = this.getOrCreateEntry(endpoint);
		const known = entry.report;
		if (entry.pastIncarnations.includes(report.incarnation)) {
			return false;
		}

		if (known?.incarnation === report.incarnation && report.sequence <= known.sequence) {
			entry.at = Math.max(entry.at, at);
			return false;
		}

		if (known !== undefined && known.incarnation !== report.incarnation) {
			entry.pastIncarnations = [...entry.pastIncarnations, known.incarnation].slice(-maxPastIncarnations);
		}

		entry.report = report;
		entry.at = Math.max(entry.at, at);
		return true;
	}

	/** Notes that an own read succeeded or failed. */
	recordRead(endpoint: ids.EndpointId, succeeded: boolean): void {
		const entry = this.getOrCreateEntry(endpoint);
		entry.consecutiveFailures = succeeded ? 0 : entry.consecutiveFailures + 1;
	}

	/** Takes another router's word that an endpoint goes away. */
	applyLeavingNotice(endpoint: ids.EndpointId, incarnation: ids.Incarnation, now: number): void {
		const {leavingNotices: notices} = this.getOrCreateEntry(endpoint);
		notices.set(incarnation, now);
		if (notices.size > maxPastIncarnations) {
			const [oldest] = notices.keys();
			notices.delete(oldest!);
		}
	}

	/** Takes the leader's word on which endpoints are to get no new requests; that of an earlier leader is ignored. */
	applyDrainingList(fencing: number, endpoints: readonly ids.EndpointId[], now: number): void {
		if (this.draining === undefined || fencing >= this.draining.fencing) {
			this.draining = {fencing, endpoints: new Set(endpoints), at: now};
		}
	}

	/** Returns what is known of an endpoint. */
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
				report: undefined, at: 0, consecutiveFailures: 0, pastIncarnations: [], leavingNotices: new Map(),
			};
			this.entries.set(endpoint, entry);
		}

		return entry;
	}
}
