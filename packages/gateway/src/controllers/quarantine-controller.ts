import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';

/** Dependencies of a {@link QuarantineController}. */
export type QuarantineControllerDependencies = {
	readonly clock: Pick<clocks.Clocks, 'suspendAwareNow'>;
	readonly log: eventLog.EventLog;
	/** Called when there is evidence that the other VMs should soon get. */
	readonly onNews: () => void;
	/** Called when a part has been quarantined. */
	readonly onQuarantined: () => void;
};

/** Largest numbers of items in a digest, so that it fits into one packet. */
const maxRowsPerDigest = 8;
const maxSoundPartsPerDigest = 6;
const maxSurvivorsPerDigest = 4;
/** Largest number of items of each kind that wait for a digest. */
const maxWaitingNews = 128;
/**
 * Interval at which the evidence on quarantined parts is repeated, in milliseconds. Eight rows of about 90 bytes to six VMs take 4.3 KB/s of
 * the 19 KB/s that a node may use for control traffic.
 */
const repeatIntervalMs = 1000;
/** Interval at which the last completed request with a disputed part is told again, in milliseconds. */
const soundRepeatMs = 1000;
/** Longest time from the end of an endpoint until its last bytes are read, in milliseconds. */
const maxReadDelayMs = 250;
/** Interval between checks whether evidence has expired, in milliseconds. */
const updateIntervalMs = 1000;

/**
 * Quarantines prompt parts that end endpoints, by what this VM and the others see: requests that endpoints interrupted, requests that
 * were completed, and endpoints that live on. Each VM passes on what is new to it, so that all VMs decide by the same evidence.
 */
export class QuarantineController {
	readonly #parts = new core.quarantine.PartQuarantine();
	readonly #news = new NewsQueue();
	readonly #toldSound = new core.quarantine.RecentTimes(maxWaitingNews);
	#repeatedAt = -Infinity;
	#repeatedCount = 0;
	#updatedAt = -Infinity;

	constructor(private readonly dependencies: QuarantineControllerDependencies) {}

	/** Whether parts are quarantined, so that the other VMs must be told of them. */
	get hasQuarantinedParts(): boolean {
		return this.#parts.list().length > 0;
	}

	/** Returns the quarantined part because of which a request must not be sent. */
	match(sharedParts: readonly string[]): core.quarantine.QuarantineMatch | undefined {
		return this.hasQuarantinedParts ? this.#parts.match(sharedParts, this.#now()) : undefined;
	}

	/** Records requests that an endpoint interrupted. */
	recordInterruption(interruption: core.quarantine.Interruption): void {
		this.#spreadRows(this.#parts.recordInterruption(interruption, this.#now()));
	}

	/** Records that a request with the given shared parts was completed, at a time of the clock that includes suspensions. */
	recordCompletion(sharedParts: readonly string[], completedAt: number): void {
		if (this.#parts.recordSound(sharedParts, completedAt)) {
			this.#update();
		}
	}

	/**
	 * Records that an endpoint responded on a connection. One that ends closes its connections, while a response on a new connection may be of
	 * its next incarnation.
	 *
	 * @param openedAt - When the connection was opened, in milliseconds of the clock that includes suspensions.
	 */
	recordAlive({id, bornAt}: core.fleet.EndpointIncarnation, openedAt: number): void {
		// Bytes that an endpoint sent before its end may be read somewhat later.
		const period: core.quarantine.AlivePeriod = {from: openedAt, until: this.#now() - maxReadDelayMs};
		if (this.#parts.recordAlive({id, bornAt}, period)) {
			this.#news.survivors.push({endpoint: {id, bornAt}, period});
			this.#update();
		}
	}

	/** Applies what another VM tells, and passes on what is new. */
	applyDigest({crashes, soundParts, survivors}: core.quarantine.QuarantineDigest): void {
		const now = this.#now();
		let isChanged = false;
		for (const {part, ageMs} of soundParts) {
			isChanged = this.#parts.recordSound([part], now - ageMs) || isChanged;
		}

		for (const {endpoint, openedAgeMs, ageMs} of survivors) {
			const period: core.quarantine.AlivePeriod = {from: now - openedAgeMs, until: now - ageMs};
			if (this.#parts.recordAlive(endpoint, period)) {
				this.#news.survivors.push({endpoint, period});
				isChanged = true;
			}
		}

		const rows = crashes.map(({ageMs, ...row}) => ({...row, at: now - ageMs}));
		const added = this.#parts.addRows(rows, now);
		if (added.length > 0) {
			this.#spreadRows(added);
		} else if (isChanged) {
			this.#update();
		}
	}

	/** Returns the next evidence for a digest; `undefined` if there is none. */
	takeDigest(): core.quarantine.QuarantineDigest | undefined {
		const now = this.#now();
		const rows = [...this.#news.rows.splice(0, maxRowsPerDigest), ...this.#takeRepeatedRows(now)].slice(0, maxRowsPerDigest);
		const soundParts = this.#news.soundParts.splice(0, maxSoundPartsPerDigest);
		const survivors = this.#news.survivors.splice(0, maxSurvivorsPerDigest);
		if (rows.length + soundParts.length + survivors.length === 0) {
			return undefined;
		}

		return {
			crashes: rows.map(({at, ...row}) => ({...row, ageMs: Math.round(now - at)})),
			soundParts: soundParts.map(({part, soundAt}) => ({part, ageMs: Math.round(now - soundAt)})),
			survivors: survivors.map(({endpoint, period: {from, until}}) => ({
				endpoint, openedAgeMs: Math.round(now - from), ageMs: Math.round(now - until),
			})),
		};
	}

	/** Whether there is evidence that waits for a digest. */
	get hasNews(): boolean {
		return this.#news.size > 0;
	}

	/** Returns the quarantined parts in alphabetical order, and the evidence on them. */
	describeQuarantined(): {readonly parts: string; readonly evidence: core.quarantine.QuarantineDigest} {
		const now = this.#now();
		const parts = this.#parts.list().map(({part}) => part).sort((a, b) => a < b ? -1 : 1).join(' ');
		const crashes = this.#parts.listDecisiveRows().map(({at, ...row}) => ({...row, ageMs: Math.round(now - at)}));
		return {parts, evidence: {crashes, soundParts: [], survivors: []}};
	}

	/** Releases parts whose evidence has expired. */
	tick(): void {
		if (this.#parts.size > 0 && this.#now() - this.#updatedAt >= updateIntervalMs) {
			this.#update();
		}
	}

	#spreadRows(rows: readonly core.quarantine.CrashRow[]): void {
		if (rows.length > 0) {
			this.#news.rows.push(...rows);
			this.#update();
		}
	}

	/** Decides again which parts are quarantined, and tells the other VMs what is new. */
	#update(): void {
		const {log, onNews, onQuarantined} = this.dependencies;
		const now = this.#now();
		this.#updatedAt = now;
		this.#collectSoundParts(now);
		const {added, removed} = this.#parts.update(now);
		for (const {part, companions, ends, requests} of added) {
			log.write(eventLog.LogEvent.PartQuarantined, {
				part, with: companions.join(','), ends, requests,
			});
		}

		for (const {part} of removed) {
			log.write(eventLog.LogEvent.PartReleased, {part});
		}

		this.#news.drop();
		if (this.#news.size > 0) {
			onNews();
		}

		if (added.length > 0) {
			onQuarantined();
		}
	}

	/** Collects disputed parts that this VM knows to be sound, since others may not know. */
	#collectSoundParts(now: number): void {
		for (const {part, soundAt} of this.#parts.listDisputedParts()) {
			const isTold = now - this.#toldSound.last(part) < soundRepeatMs;
			if (!isTold && now - soundAt <= core.quarantine.defaultCulpritLimits.soundMs) {
				this.#toldSound.record(part, now);
				this.#news.soundParts.push({part, soundAt});
			}
		}
	}

	#takeRepeatedRows(now: number): core.quarantine.CrashRow[] {
		if (now - this.#repeatedAt < repeatIntervalMs) {
			return [];
		}

		this.#repeatedAt = now;
		const rows = this.#parts.listDecisiveRows();
		const first = rows.length === 0 ? 0 : this.#repeatedCount % rows.length;
		this.#repeatedCount += maxRowsPerDigest;
		return [...rows.slice(first), ...rows.slice(0, first)].slice(0, maxRowsPerDigest);
	}

	#now(): number {
		return this.dependencies.clock.suspendAwareNow();
	}
}

/** Evidence that waits for a digest. */
class NewsQueue {
	readonly rows: core.quarantine.CrashRow[] = [];
	readonly soundParts: Array<{readonly part: string; readonly soundAt: number}> = [];
	readonly survivors: Array<{readonly endpoint: core.fleet.EndpointIncarnation; readonly period: core.quarantine.AlivePeriod}> = [];

	get size(): number {
		return this.rows.length + this.soundParts.length + this.survivors.length;
	}

	/** Drops the oldest items beyond the bound. */
	drop(): void {
		for (const items of [this.rows, this.soundParts, this.survivors]) {
			items.splice(0, Math.max(0, items.length - maxWaitingNews));
		}
	}
}
