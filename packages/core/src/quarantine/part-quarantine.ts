import type * as endpointEntry from '../fleet/endpoint-entry.js';
import * as crashRow from './crash-row.js';
import * as findCulprits from './find-culprits.js';
import type * as interruption from './interruption.js';
import * as recentTimes from './recent-times.js';

/** Bounds of a {@link PartQuarantine}. */
export type PartQuarantineOptions = {
	readonly limits: findCulprits.CulpritLimits;
	/** Time after which evidence is dropped, and thus after the last end when a part is released, in milliseconds. */
	readonly lifetimeMs: number;
	/** Largest number of interrupted requests that are kept, and of those of one incarnation. */
	readonly maxRows: number;
	readonly maxRowsPerEndpoint: number;
	/** Largest number of parts whose last completed request is known. */
	readonly maxSoundParts: number;
	/** Largest number of incarnations that are known to have outlived an interruption. */
	readonly maxSurvivors: number;
};

/** Evidence of five minutes finds a part that is met once a minute. */
export const defaultPartQuarantineOptions: PartQuarantineOptions = {
	limits: findCulprits.defaultCulpritLimits,
	lifetimeMs: 300_000,
	maxRows: 512,
	maxRowsPerEndpoint: 32,
	maxSoundParts: 16_384,
	maxSurvivors: 1024,
};

/** Number of the first endpoints that ended, and of the last ones, whose rows suffice as evidence on a part. */
const rowsAtEachEnd = 6;

/** Largest number of parts whose lifts are known; more than are in force at a time. */
const maxLiftedParts = 64;

/** Time for which an incarnation is known to be alive, in milliseconds of the clock of the evidence. */
export type AlivePeriod = {
	readonly from: number;
	readonly until: number;
};

/** What changed by new evidence. */
export type QuarantineChange = {
	readonly added: readonly findCulprits.Culprit[];
	readonly removed: readonly findCulprits.Culprit[];
};

/** A quarantined part that a request has, and when it is released unless further endpoints end. */
export type QuarantineMatch = {
	readonly part: string;
	readonly releasedInMs: number;
};

/**
 * Prompt parts that end the endpoints that begin a response on them. The evidence comes from this VM and from others, in any order and
 * any number of times; which parts are quarantined depends on the evidence only.
 */
export class PartQuarantine {
	/** Interrupted requests by key, the oldest first. */
	readonly #rows = new Map<string, crashRow.CrashRow>();
	readonly #sound: recentTimes.RecentTimes;
	/** The last times for which incarnations proved to be alive; the one that was updated the longest ago first. */
	readonly #alive = new Map<string, AlivePeriod>();
	/** When operators lifted parts, so that earlier evidence is void. */
	readonly #lifted = new recentTimes.RecentTimes(maxLiftedParts);
	#culprits = new Map<string, findCulprits.Culprit>();
	/** Parts of the rows that no request has completed since; absent after a change of the evidence. */
	#suspects: Set<string> | undefined;

	constructor(private readonly options: PartQuarantineOptions = defaultPartQuarantineOptions) {
		this.#sound = new recentTimes.RecentTimes(options.maxSoundParts);
	}

	/** Number of interrupted requests that are kept. */
	get size(): number {
		return this.#rows.size;
	}

	/**
	 * Records the requests that an endpoint interrupted. Requests without a part that may be the cause are left out.
	 *
	 * @returns The rows that are new.
	 */
	recordInterruption({endpoint, at, requests}: interruption.Interruption, now: number): crashRow.CrashRow[] {
		return this.addRows(requests
			.filter(request => request.sharedParts.length > 0 && request.requestKey !== undefined)
			.map(({sharedParts, requestKey, hasBegun}) => ({
				endpoint, at, sharedParts, requestKey: requestKey!, hasBegun,
			})), now);
	}

	/** Adds rows, also of other VMs. @returns Those that are new. */
	addRows(rows: readonly crashRow.CrashRow[], now: number): crashRow.CrashRow[] {
		const useful = rows.filter(row => this.#isUseful(row, now));
		if (useful.length === 0) {
			return [];
		}

		const countByEndpoint = new Map<string, number>();
		for (const {endpoint} of this.#rows.values()) {
			increment(countByEndpoint, crashRow.incarnationKey(endpoint));
		}

		const sorted = useful.map(row => ({row, suspicion: this.#rateSuspicion(row)})).sort((a, b) => b.suspicion - a.suspicion);
		const added = sorted.map(({row}) => row).filter(row => {
			const endpoint = crashRow.incarnationKey(row.endpoint);
			// Another row of the call may be of the same request.
			const isKept = this.#isUseful(row, now) && (countByEndpoint.get(endpoint) ?? 0) < this.options.maxRowsPerEndpoint;
			if (isKept) {
				increment(countByEndpoint, endpoint);
				this.#rows.set(crashRow.rowKey(row), row);
			}

			return isKept;
		});
		this.#dropSurplus();
		this.#suspects = undefined;
		return added;
	}

	/** Records that a request with the given parts was completed. @returns Whether evidence against one of them is void now. */
	recordSound(parts: readonly string[], at: number): boolean {
		const suspects = this.#listSuspects();
		let clearsSuspect = false;
		for (const part of parts) {
			const isLater = this.#sound.record(part, at);
			clearsSuspect ||= isLater && suspects.has(part);
		}

		if (clearsSuspect) {
			this.#suspects = undefined;
		}

		return clearsSuspect;
	}

	/** Returns when requests with parts that stand in the evidence on several endpoints were last completed. */
	listDisputedParts(): Array<{readonly part: string; readonly soundAt: number}> {
		const endpointsByPart = new Map<string, Set<string>>();
		for (const {endpoint, sharedParts} of this.#rows.values()) {
			for (const part of sharedParts) {
				const endpoints = endpointsByPart.get(part) ?? new Set();
				endpointsByPart.set(part, endpoints.add(crashRow.incarnationKey(endpoint)));
			}
		}

		return [...endpointsByPart]
			.filter(([, endpoints]) => endpoints.size > 1)
			.map(([part]) => ({part, soundAt: this.#sound.last(part)}))
			.filter(({soundAt}) => soundAt !== -Infinity);
	}

	/**
	 * Records that an incarnation was alive for a time. Interruptions in that time were no ends.
	 *
	 * @returns Whether there were any.
	 */
	recordAlive(endpoint: endpointEntry.EndpointIncarnation, period: AlivePeriod): boolean {
		if (this.#rows.size === 0) {
			return false;
		}

		const key = crashRow.incarnationKey(endpoint);
		const voidRows = [...this.#rows].filter(([, row]) => crashRow.incarnationKey(row.endpoint) === key && isWithin(row, period));
		if (voidRows.length === 0) {
			return false;
		}

		this.#alive.delete(key);
		this.#alive.set(key, period);
		if (this.#alive.size > this.options.maxSurvivors) {
			const [oldest] = this.#alive.keys();
			this.#alive.delete(oldest!);
		}

		for (const [rowKey] of voidRows) {
			this.#rows.delete(rowKey);
		}

		this.#suspects = undefined;
		return true;
	}

	/**
	 * Records that an operator lifted a part: earlier interruptions of requests with it are evidence on none of their parts, or else those that
	 * stand beside it would be held the cause instead.
	 */
	lift(part: string, at: number): void {
		this.#lifted.record(part, at);
		for (const [key, row] of this.#rows) {
			if (this.#isLifted(row)) {
				this.#rows.delete(key);
			}
		}

		this.#suspects = undefined;
	}

	/** Decides again which parts are quarantined. */
	update(now: number): QuarantineChange {
		for (const [key, row] of this.#rows) {
			if (now - row.at > this.options.lifetimeMs) {
				this.#rows.delete(key);
				this.#suspects = undefined;
			}
		}

		const before = this.#culprits;
		const culprits = findCulprits.findCulprits([...this.#rows.values()], part => this.#sound.last(part), this.options.limits);
		this.#culprits = new Map(culprits.map(culprit => [culprit.part, culprit]));
		return {
			added: culprits.filter(culprit => !before.has(culprit.part)),
			removed: [...before.values()].filter(culprit => !this.#culprits.has(culprit.part)),
		};
	}

	/** Returns the quarantined part because of which a request must not be sent; `undefined` if it may be. */
	match(sharedParts: readonly string[], now: number): QuarantineMatch | undefined {
		if (this.#culprits.size === 0) {
			return undefined;
		}

		for (const part of sharedParts) {
			const culprit = this.#culprits.get(part);
			if (culprit?.companions.every(companion => sharedParts.includes(companion))) {
				return {part, releasedInMs: Math.max(0, culprit.lastEndAt + this.options.lifetimeMs - now)};
			}
		}

		return undefined;
	}

	/** Lists the quarantined parts. */
	list(): findCulprits.Culprit[] {
		return [...this.#culprits.values()];
	}

	/** Lists rows on which the quarantine of parts rests: of each part one row of the first and the last endpoints that ended. */
	listDecisiveRows(): crashRow.CrashRow[] {
		const decisive = new Set<crashRow.CrashRow>();
		for (const part of this.#culprits.keys()) {
			const rows = listRowsByEndpoint([...this.#rows.values()].filter(row => row.sharedParts.includes(part)));
			for (const row of [...rows.slice(0, rowsAtEachEnd), ...rows.slice(-rowsAtEachEnd)]) {
				decisive.add(row);
			}
		}

		return [...decisive];
	}

	/** Returns whether a row is new or better than the known one, its incarnation hasn't proved to be alive since, and one of its parts may be the cause. */
	#isUseful(row: crashRow.CrashRow, now: number): boolean {
		const known = this.#rows.get(crashRow.rowKey(row));
		return (known === undefined || (row.hasBegun && !known.hasBegun) || (known.isEstimated === true && row.isEstimated !== true))
			&& now - row.at <= this.options.lifetimeMs
			&& !this.#hasSurvived(row)
			&& !this.#isLifted(row)
			&& row.sharedParts.some(part => row.at > this.#sound.last(part));
	}

	#isLifted({sharedParts, at}: crashRow.CrashRow): boolean {
		return this.#lifted.size > 0 && sharedParts.some(part => at <= this.#lifted.last(part));
	}

	#hasSurvived(row: crashRow.CrashRow): boolean {
		const period = this.#alive.get(crashRow.incarnationKey(row.endpoint));
		return period !== undefined && isWithin(row, period);
	}

	/** Rates how likely it is that a part of the request is the cause: begun ones, those with parts of other rows, those with parts that were never sound. */
	#rateSuspicion({sharedParts, hasBegun}: crashRow.CrashRow): number {
		const unknown = sharedParts.filter(part => this.#sound.last(part) === -Infinity);
		const suspects = this.#listSuspects();
		return (hasBegun ? 4 : 0) + (unknown.some(part => suspects.has(part)) ? 2 : 0) + (unknown.length > 0 ? 1 : 0);
	}

	#listSuspects(): ReadonlySet<string> {
		this.#suspects ??= new Set([...this.#rows.values()].flatMap(row => row.sharedParts.filter(part => row.at > this.#sound.last(part))));
		return this.#suspects;
	}

	/** Drops the oldest rows, those on which a quarantine rests last. */
	#dropSurplus(): void {
		const {maxRows} = this.options;
		if (this.#rows.size <= maxRows) {
			return;
		}

		const decisive = new Set(this.listDecisiveRows());
		const oldestFirst = [...this.#rows].sort(([, a], [, b]) => (Number(decisive.has(a)) - Number(decisive.has(b))) || a.at - b.at);
		for (const [key] of oldestFirst.slice(0, this.#rows.size - maxRows)) {
			this.#rows.delete(key);
		}
	}
}

/** Returns one row of each endpoint, ordered by time: the first one whose response had begun, or else the first one. */
function listRowsByEndpoint(rows: readonly crashRow.CrashRow[]): crashRow.CrashRow[] {
	const chosen = new Map<string, crashRow.CrashRow>();
	for (const row of [...rows].sort((a, b) => (Number(b.hasBegun) - Number(a.hasBegun)) || a.at - b.at)) {
		const key = crashRow.incarnationKey(row.endpoint);
		if (!chosen.has(key)) {
			chosen.set(key, row);
		}
	}

	return [...chosen.values()].sort((a, b) => a.at - b.at);
}

function isWithin({at}: crashRow.CrashRow, {from, until}: AlivePeriod): boolean {
	return at > from && at < until;
}

function increment(counts: Map<string, number>, key: string): void {
	counts.set(key, (counts.get(key) ?? 0) + 1);
}
