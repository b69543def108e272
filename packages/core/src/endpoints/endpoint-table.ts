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
	readonly noticeMs: number;
	/** Failed reads in a row after which an endpoint counts as unreachable. */
	readonly maxFailures: number;
	/** Milliseconds without a report after which an endpoint that others watch counts as unreachable. */
	readonly silentMs: number;
};

/** Defaults of the options. */
export const endpointTableDefaults: EndpointTableOptions = {noticeMs: 5000, maxFailures: 3, silentMs: 10_000};

const pastIncarnations = 4;

type Entry<Report> = {
	report: Report | undefined;
	at: number;
	failures: number;
	past: ids.Incarnation[];
	/** Notices of leaving by incarnation, with the time of the last. */
	readonly notices: Map<ids.Incarnation, number>;
};

/** Merges what several sources say of the endpoints; older news never takes the place of newer. */
export class EndpointTable<Report extends SequencedReport> {
	private readonly entries = new Map<ids.EndpointId, Entry<Report>>();
	private draining: {fencing: number; endpoints: ReadonlySet<ids.EndpointId>; at: number} | undefined;

	constructor(private readonly options: EndpointTableOptions = endpointTableDefaults) {}

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
	takeReport(endpoint: ids.EndpointId, report: Report, at: number): boolean {
		const entry = this.entryOf(endpoint);
		const known = entry.report;
		if (entry.past.includes(report.incarnation)) {
			return false;
		}

		if (known?.incarnation === report.incarnation && report.sequence <= known.sequence) {
			entry.at = Math.max(entry.at, at);
			return false;
		}

		if (known !== undefined && known.incarnation !== report.incarnation) {
			entry.past = [...entry.past, known.incarnation].slice(-pastIncarnations);
		}

		entry.report = report;
		entry.at = Math.max(entry.at, at);
		return true;
	}

	/** Notes that an own read succeeded or failed. */
	noteRead(endpoint: ids.EndpointId, succeeded: boolean): void {
		const entry = this.entryOf(endpoint);
		entry.failures = succeeded ? 0 : entry.failures + 1;
	}

	/** Takes another router's word that an endpoint goes away. */
	takeLeaving(endpoint: ids.EndpointId, incarnation: ids.Incarnation, now: number): void {
		const {notices} = this.entryOf(endpoint);
		notices.set(incarnation, now);
		if (notices.size > pastIncarnations) {
			const [oldest] = notices.keys();
			notices.delete(oldest!);
		}
	}

	/** Takes the leader's word on which endpoints are to get no new requests; that of an earlier leader is ignored. */
	takeDraining(fencing: number, endpoints: readonly ids.EndpointId[], now: number): void {
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
			return entry !== undefined && [...entry.notices.values()].some(at => now - at <= this.options.noticeMs);
		}

		const noticedAt = entry.notices.get(entry.report.incarnation);
		return entry.report.leaving || (noticedAt !== undefined && now - noticedAt <= this.options.noticeMs);
	}

	private isDraining(endpoint: ids.EndpointId, now: number): boolean {
		return this.draining !== undefined
			&& now - this.draining.at <= this.options.noticeMs
			&& this.draining.endpoints.has(endpoint);
	}

	private isReachable(entry: Entry<Report> | undefined, now: number): boolean {
		return entry?.report !== undefined
			&& entry.failures < this.options.maxFailures
			&& now - entry.at <= this.options.silentMs;
	}

	private entryOf(endpoint: ids.EndpointId): Entry<Report> {
		let entry = this.entries.get(endpoint);
		if (entry === undefined) {
			entry = {
				report: undefined, at: 0, failures: 0, past: [], notices: new Map(),
			};
			this.entries.set(endpoint, entry);
		}

		return entry;
	}
}
