import type * as endpointEntry from '../fleet/endpoint-entry.js';
import * as permitShares from './permit-shares.js';
import * as statedLimits from './stated-limits.js';

/** What one response states of the limit of its endpoint. */
export type LimitStatement = {
	/** Absent if it states none. */
	readonly limit: {
		/** Absent if the text is no valid rate. */
		readonly requestsPerSecond: number | undefined;
		readonly text: string;
	} | undefined;
	/** Whether the limit has ended if the response states none. */
	readonly isAuthoritative: boolean;
};

/** A change of a limit, for the log. */
export type RecordedLimitChange = statedLimits.LimitChange & {
	readonly isFromPeer: boolean;
	/** Requests and other calls of this VM to the endpoint since the previous change. */
	readonly sends: number;
};

/** A limit that is no valid rate. */
export type InvalidLimit = {
	readonly endpoint: string;
	readonly text: string;
};

/** Maximum number of changes that are kept for the log, and of endpoints whose invalid limit was logged. */
const maxPending = 256;
const maxLoggedLength = 64;

/** The limits on requests that endpoints state, which all VMs keep together, each with its share of the permits. Times are in milliseconds of a clock that includes suspensions. */
export class RequestLimits {
	readonly #stated = new statedLimits.StatedLimits();
	readonly #changes: RecordedLimitChange[] = [];
	readonly #invalid: InvalidLimit[] = [];
	/** Incarnations whose invalid limit was reported, by endpoint. */
	readonly #reportedInvalid = new Map<string, number>();
	/** Sends since the last change of the limit, by endpoint. */
	readonly #sends = new Map<string, number>();
	readonly #shares: permitShares.PermitShares;
	/** Number of limits that were sent in digests; the next digest continues after them. */
	#sentCount = 0;

	/** @param vm - Name of this VM. @param countHolders - Returns the number of VMs that share a limit. */
	constructor(vm: string, countHolders: typeof permitShares.countPermitHolders = permitShares.countPermitHolders) {
		this.#shares = new permitShares.PermitShares(vm, countHolders);
	}

	/** Whether some endpoint states a limit, or has until a short time ago. */
	get hasLimits(): boolean {
		return this.#stated.size > 0;
	}

	/** Sets the names of the VMs that share limits. */
	setVms(vms: readonly string[]): void {
		this.#shares.setVms(vms);
	}

	/** Records what a response of an endpoint states. */
	record(endpoint: endpointEntry.EndpointIncarnation, {limit, isAuthoritative}: LimitStatement, now: number): void {
		if (limit !== undefined && limit.requestsPerSecond === undefined) {
			this.#recordInvalid(endpoint, limit.text);
		} else if (limit !== undefined || (isAuthoritative && this.#stated.size > 0)) {
			this.#addChange(this.#stated.record(endpoint, limit?.requestsPerSecond, now), false);
		}
	}

	/** Returns the limit of an endpoint in requests a second; `undefined` if it states none. */
	getRate(endpoint: endpointEntry.EndpointIncarnation): number | undefined {
		return this.#stated.size === 0 ? undefined : this.#stated.getRate(endpoint);
	}

	/**
	 * Returns the time until this VM may send a request to an endpoint, in milliseconds: 0 if it may now, `Infinity` if the permits of the endpoint
	 * belong to other VMs.
	 */
	waitMs(endpoint: endpointEntry.EndpointIncarnation, now: number): number {
		const rate = this.getRate(endpoint);
		return rate === undefined ? 0 : this.#shares.waitMs(endpoint, rate, now);
	}

	/** Returns the requests a second that this VM may send to an endpoint; `Infinity` without a limit. */
	getShare(endpoint: endpointEntry.EndpointIncarnation, now: number): number {
		const rate = this.getRate(endpoint);
		return rate === undefined ? Infinity : this.#shares.rateOf(endpoint, rate, now);
	}

	/** Uses a permit for a request, or another call that any VM makes. @returns Whether it may be sent. */
	take(endpoint: endpointEntry.EndpointIncarnation, now: number): boolean {
		const rate = this.getRate(endpoint);
		return rate === undefined || this.#shares.take(endpoint, rate, now);
	}

	/** Uses a permit for a call that only the leader makes. @returns Whether it may be made. */
	takeForLeader(endpoint: endpointEntry.EndpointIncarnation, now: number): boolean {
		const rate = this.getRate(endpoint);
		return rate === undefined || this.#shares.takeForLeader(endpoint, rate, now);
	}

	/** Returns the next limits in turn for a digest to the other VMs, also those that have ended. */
	takeDigest(maxRows: number, now: number): statedLimits.LimitDigest[] {
		const rows = this.#stated.size === 0 ? [] : this.#stated.list(now);
		const first = rows.length === 0 ? 0 : this.#sentCount % rows.length;
		const selected = [...rows.slice(first), ...rows.slice(0, first)].slice(0, maxRows);
		this.#sentCount += selected.length;
		return selected;
	}

	/** Applies the limits in a digest of another VM. */
	applyDigest(rows: readonly statedLimits.LimitDigest[], now: number): void {
		for (const change of this.#stated.applyDigest(rows, now)) {
			this.#addChange(change, true);
		}
	}

	/** Counts a request or another call that was sent to an endpoint. */
	countSend(endpoint: endpointEntry.EndpointIncarnation): void {
		if (this.getRate(endpoint) !== undefined) {
			this.#sends.set(endpoint.id, (this.#sends.get(endpoint.id) ?? 0) + 1);
		}
	}

	/** Removes limits of incarnations that were replaced. @param bornAtOf - Returns the incarnation that is listed, if the endpoint is. */
	removeEnded(bornAtOf: (endpoint: string) => number | undefined, now: number): void {
		if (!this.hasLimits) {
			return;
		}

		// A VM without a share gets no responses that state a limit or its end.
		const mayLapse = (endpoint: endpointEntry.EndpointIncarnation): boolean => this.waitMs(endpoint, now) === Infinity;
		for (const change of this.#stated.removeEnded(bornAtOf, mayLapse, now)) {
			this.#addChange(change, false);
		}

		this.#shares.retain(endpoint => this.getRate(endpoint) !== undefined);
	}

	/** Returns the changes since the last call. */
	takeChanges(): RecordedLimitChange[] {
		return this.#changes.splice(0);
	}

	/** Returns the invalid limits since the last call, one for each incarnation. */
	takeInvalid(): InvalidLimit[] {
		return this.#invalid.splice(0);
	}

	#addChange(change: statedLimits.LimitChange | undefined, isFromPeer: boolean): void {
		if (change === undefined) {
			return;
		}

		const sends = this.#sends.get(change.endpoint) ?? 0;
		this.#sends.delete(change.endpoint);
		if (this.#changes.length < maxPending) {
			this.#changes.push({...change, isFromPeer, sends});
		}
	}

	#recordInvalid({id, bornAt}: endpointEntry.EndpointIncarnation, text: string): void {
		if (this.#reportedInvalid.get(id) === bornAt) {
			return;
		}

		if (this.#reportedInvalid.size >= maxPending) {
			this.#reportedInvalid.clear();
		}

		this.#reportedInvalid.set(id, bornAt);
		this.#invalid.push({endpoint: id, text: text.slice(0, maxLoggedLength)});
	}
}
