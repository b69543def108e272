import * as core from '@bluebellmast/core';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';

/** Dependencies of a {@link QuarantineController}. */
export type QuarantineControllerDependencies = {
	readonly clock: Pick<clocks.Clocks, 'suspendAwareNow'>;
	readonly log: eventLog.EventLog;
	/** Called when there is evidence to be sent to the other VMs soon. */
	readonly onPendingEvidence: () => void;
	/** Called when a part has been quarantined. */
	readonly onQuarantined: () => void;
};

/** Largest numbers of items in a digest, so that it fits into one packet. */
const maxRowsPerDigest = 8;
const maxSoundPartsPerDigest = 6;
const maxSurvivorsPerDigest = 4;
/** Largest number of items of each kind that wait for a digest. */
const maxPendingItems = 128;
/**
 * Interval at which the evidence on quarantined parts is repeated, in milliseconds. Eight rows of about 90 bytes to six VMs take 4.3 KB/s of
 * the 19 KB/s that a node may use for control traffic.
 */
const repeatIntervalMs = 1000;
/** Shortest interval between two reports that the same disputed part is sound, in milliseconds. */
const soundReportIntervalMs = 1000;
/** Longest time from the end of an endpoint until its last bytes are read, in milliseconds. */
const maxReadDelayMs = 250;
/** Interval between checks whether evidence has expired, in milliseconds. */
const updateIntervalMs = 1000;

/**
 * Quarantines prompt parts that end endpoints, by the observations of this VM and the others: requests that endpoints interrupted, requests that
 * were completed, and endpoints that live on. Each VM passes on what is new to it, so that all VMs decide by the same evidence.
 */
export class QuarantineController {
	readonly #parts = new core.quarantine.PartQuarantine();
	readonly #overrides = new core.quarantine.OperatorOverrides();
	readonly #pending = new PendingEvidence();
	readonly #reportedSound = new core.quarantine.RecentTimes(maxPendingItems);
	#repeatedAt = -Infinity;
	#repeatedCount = 0;
	#updatedAt = -Infinity;

	constructor(private readonly dependencies: QuarantineControllerDependencies) {}

	/** Whether parts are quarantined, the evidence on which is repeated to the other VMs. */
	get hasQuarantinedParts(): boolean {
		return this.#parts.list().length > 0;
	}

	/** Returns the quarantined part because of which a request must not be sent. */
	match(sharedParts: readonly string[]): core.quarantine.QuarantineMatch | undefined {
		if (!this.hasQuarantinedParts && this.#overrides.size === 0) {
			return undefined;
		}

		const now = this.#now();
		const added = this.#overrides.findAdded(sharedParts, now);
		return added === undefined ? this.#parts.match(sharedParts, now) : {part: added.part, releasedInMs: added.endsAt - now};
	}

	/** Applies an operator's override on a part. One that was lifted is quarantined again only by later evidence. */
	applyOperatorOverride(override: core.quarantine.OperatorOverride, reading: core.quarantine.OverrideReading): void {
		const kept = this.#overrides.record(override, reading);
		if (kept === undefined) {
			return;
		}

		const {part, action, by, reason, givenAt, endsAt} = kept;
		this.dependencies.log.write(eventLog.LogEvent.OperatorOverrideAccepted, {
			part, action, by, reason, endsInMs: Math.round(endsAt - reading.now),
		});
		if (action === core.quarantine.OperatorAction.Add) {
			this.dependencies.onQuarantined();
		} else {
			this.#parts.lift(part, givenAt);
			this.#pending.removeRows(part, givenAt);
			this.#update();
		}
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
			this.#pending.survivors.push({endpoint: {id, bornAt}, period});
			this.#update();
		}
	}

	/** Applies the evidence of another VM, and passes on what is new. */
	applyDigest({crashes, soundParts, survivors}: core.quarantine.QuarantineDigest): void {
		const now = this.#now();
		let isChanged = false;
		for (const {part, ageMs} of soundParts) {
			isChanged = this.#parts.recordSound([part], now - ageMs) || isChanged;
		}

		for (const {endpoint, openedAgeMs, ageMs} of survivors) {
			const period: core.quarantine.AlivePeriod = {from: now - openedAgeMs, until: now - ageMs};
			if (this.#parts.recordAlive(endpoint, period)) {
				this.#pending.survivors.push({endpoint, period});
				isChanged = true;
			}
		}

		const added = this.#addCrashes(crashes, now);
		if (added.length > 0) {
			this.#spreadRows(added);
		} else if (isChanged) {
			this.#update();
		}
	}

	/**
	 * Applies evidence from the store whose ages rest on wall clocks. It is not passed on: other VMs read it as well, and would take the ages for
	 * measured ones.
	 */
	applyEstimatedEvidence({crashes}: core.quarantine.QuarantineDigest): void {
		const rows = crashes.map(row => ({...row, isEstimated: true}));
		if (this.#addCrashes(rows, this.#now()).length > 0) {
			this.#update();
		}
	}

	/** Returns the next evidence for a digest; `undefined` if there is none. */
	takeDigest(): core.quarantine.QuarantineDigest | undefined {
		const now = this.#now();
		const rows = [...this.#pending.rows.splice(0, maxRowsPerDigest), ...this.#takeRepeatedRows(now)].slice(0, maxRowsPerDigest);
		const soundParts = this.#pending.soundParts.splice(0, maxSoundPartsPerDigest);
		const survivors = this.#pending.survivors.splice(0, maxSurvivorsPerDigest);
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
	get hasPendingEvidence(): boolean {
		return this.#pending.size > 0;
	}

	/** Returns the quarantined parts in alphabetical order, also as one text, and the evidence on them. */
	describeQuarantined(): {readonly keys: readonly string[]; readonly parts: string; readonly evidence: core.quarantine.QuarantineDigest} {
		const now = this.#now();
		const keys = this.#parts.list().map(({part}) => part).sort((a, b) => a < b ? -1 : 1);
		const crashes = this.#parts.listDecisiveRows().map(({at, ...row}) => ({...row, ageMs: Math.round(now - at)}));
		return {keys, parts: keys.join(' '), evidence: {crashes, soundParts: [], survivors: []}};
	}

	/** Releases parts whose evidence or operator's override has expired. */
	tick(): void {
		for (const {part, action} of this.#overrides.expire(this.#now())) {
			this.dependencies.log.write(eventLog.LogEvent.OperatorOverrideEnded, {part, action});
		}

		if (this.#parts.size > 0 && this.#now() - this.#updatedAt >= updateIntervalMs) {
			this.#update();
		}
	}

	#addCrashes(crashes: core.quarantine.QuarantineDigest['crashes'], now: number): core.quarantine.CrashRow[] {
		return this.#parts.addRows(crashes.map(({ageMs, ...row}) => ({...row, at: now - ageMs})), now);
	}

	#spreadRows(rows: readonly core.quarantine.CrashRow[]): void {
		if (rows.length > 0) {
			this.#pending.rows.push(...rows);
			this.#update();
		}
	}

	/** Decides again which parts are quarantined, logs the changes, and has pending evidence sent. */
	#update(): void {
		const {log, onPendingEvidence, onQuarantined} = this.dependencies;
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

		this.#pending.drop();
		if (this.#pending.size > 0) {
			onPendingEvidence();
		}

		if (added.length > 0) {
			onQuarantined();
		}
	}

	/** Collects disputed parts that this VM knows to be sound, to be reported to the others. */
	#collectSoundParts(now: number): void {
		for (const {part, soundAt} of this.#parts.listDisputedParts()) {
			const isReported = now - this.#reportedSound.last(part) < soundReportIntervalMs;
			if (!isReported && now - soundAt <= core.quarantine.defaultCulpritLimits.soundMs) {
				this.#reportedSound.record(part, now);
				this.#pending.soundParts.push({part, soundAt});
			}
		}
	}

	#takeRepeatedRows(now: number): core.quarantine.CrashRow[] {
		if (now - this.#repeatedAt < repeatIntervalMs) {
			return [];
		}

		this.#repeatedAt = now;
		const rows = this.#parts.listDecisiveRows().filter(row => row.isEstimated !== true);
		const first = rows.length === 0 ? 0 : this.#repeatedCount % rows.length;
		this.#repeatedCount += maxRowsPerDigest;
		return [...rows.slice(first), ...rows.slice(0, first)].slice(0, maxRowsPerDigest);
	}

	#now(): number {
		return this.dependencies.clock.suspendAwareNow();
	}
}

/** Evidence that waits for a digest. */
class PendingEvidence {
	readonly rows: core.quarantine.CrashRow[] = [];
	readonly soundParts: Array<{readonly part: string; readonly soundAt: number}> = [];
	readonly survivors: Array<{readonly endpoint: core.fleet.EndpointIncarnation; readonly period: core.quarantine.AlivePeriod}> = [];

	get size(): number {
		return this.rows.length + this.soundParts.length + this.survivors.length;
	}

	/** Removes the rows of requests with a part up to a time. */
	removeRows(part: string, until: number): void {
		const kept = this.rows.filter(row => row.at > until || !row.sharedParts.includes(part));
		this.rows.splice(0, this.rows.length, ...kept);
	}

	/** Drops the oldest items beyond the bound. */
	drop(): void {
		for (const items of [this.rows, this.soundParts, this.survivors]) {
			items.splice(0, Math.max(0, items.length - maxPendingItems));
		}
	}
}
