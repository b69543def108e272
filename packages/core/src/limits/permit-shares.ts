import type * as endpointEntry from '../fleet/endpoint-entry.js';
import * as util from '../util/index.js';

const msPerSecond = 1000;
const maxHash32 = 2 ** 32;

/** Permits of one VM for one limited endpoint. */
type Share = {
	readonly bornAt: number;
	/** What the rate was computed from. */
	requestsPerSecond: number;
	vms: readonly string[];
	/** Permits a second; 0 if this VM has no share. */
	rate: number;
	/** Permits that may be used now; fractions accumulate to the next one. */
	permits: number;
	/** Calls of the leader that may be made now, if there is no permit. */
	calls: number;
	filledAt: number;
};

/** A VM holds one permit at most, so that those of all VMs together stay below the number of holders. */
const maxPermits = 1;
/** Calls that the leader may make at once beyond its permits: it reads the report of an engine and sends an order. */
const maxLeaderCalls = 2;
/** Calls of the leader beyond its permits, as a share of the limit, and their least number a second, so that new weights are loaded in some seconds. */
const leaderCallShare = 0.25;
const minLeaderCallsPerSecond = 0.25;

/**
 * Returns the number of VMs that share a limit. Requests are indivisible: all holders may use their permits at the same time, so there are about as
 * many as the requests of one second.
 */
export function countPermitHolders(requestsPerSecond: number, vmCount: number): number {
	const holders = requestsPerSecond < 1 ? 2 : Math.floor(requestsPerSecond) + 3;
	return Math.min(vmCount, holders);
}

/**
 * The permits of one VM for requests to endpoints that state a limit for all VMs together. The VMs agree on who has a share without
 * messages: the first ones in rendezvous order of the endpoint's incarnation. A VM that gains or loses a share changes nothing for the others.
 * Times are in milliseconds of a clock that includes suspensions of the VM.
 */
export class PermitShares {
	/** By endpoint. */
	readonly #shares = new Map<string, Share>();
	#vms: readonly string[];

	/** @param countHolders - Returns the number of VMs that share a limit. */
	constructor(private readonly vm: string, private readonly countHolders: typeof countPermitHolders = countPermitHolders) {
		this.#vms = [vm];
	}

	/** Sets the VMs that share limits. */
	setVms(vms: readonly string[]): void {
		const hasChanged = vms.length !== this.#vms.length || vms.some((vm, index) => vm !== this.#vms[index]);
		this.#vms = hasChanged ? vms : this.#vms;
	}

	/** Returns the time until this VM may send a request to an endpoint: 0 if it may now, `Infinity` if it has no share. */
	waitMs(endpoint: endpointEntry.EndpointIncarnation, requestsPerSecond: number, now: number): number {
		const {permits, rate} = this.#fill(endpoint, requestsPerSecond, now);
		if (permits >= maxPermits) {
			return 0;
		}

		return rate === 0 ? Infinity : (maxPermits - permits) / rate * msPerSecond;
	}

	/** Returns the permits a second of this VM for an endpoint. */
	rateOf(endpoint: endpointEntry.EndpointIncarnation, requestsPerSecond: number, now: number): number {
		return this.#fill(endpoint, requestsPerSecond, now).rate;
	}

	/** Uses a permit. @returns Whether there was one. */
	take(endpoint: endpointEntry.EndpointIncarnation, requestsPerSecond: number, now: number): boolean {
		const share = this.#fill(endpoint, requestsPerSecond, now);
		if (share.permits < maxPermits) {
			return false;
		}

		share.permits -= 1;
		return true;
	}

	/** Uses a permit for a call that only one VM, the leader, makes, or a call from its own allowance. @returns Whether the call may be made. */
	takeForLeader(endpoint: endpointEntry.EndpointIncarnation, requestsPerSecond: number, now: number): boolean {
		if (this.take(endpoint, requestsPerSecond, now)) {
			return true;
		}

		const share = this.#fill(endpoint, requestsPerSecond, now);
		if (share.calls < 1) {
			return false;
		}

		share.calls -= 1;
		return true;
	}

	/** Forgets the endpoints that state no limit. */
	retain(isLimited: (endpoint: endpointEntry.EndpointIncarnation) => boolean): void {
		for (const [id, {bornAt}] of this.#shares) {
			if (!isLimited({id, bornAt})) {
				this.#shares.delete(id);
			}
		}
	}

	#fill({id, bornAt}: endpointEntry.EndpointIncarnation, requestsPerSecond: number, now: number): Share {
		const known = this.#shares.get(id);
		const share = known?.bornAt === bornAt ? known : this.#create({id, bornAt}, requestsPerSecond, now);
		const seconds = Math.max(0, now - share.filledAt) / msPerSecond;
		share.permits = Math.min(maxPermits, share.permits + (share.rate * seconds));
		const callsPerSecond = Math.max(minLeaderCallsPerSecond, share.requestsPerSecond * leaderCallShare);
		share.calls = Math.min(maxLeaderCalls, share.calls + (callsPerSecond * seconds));
		share.filledAt = Math.max(now, share.filledAt);
		if (share.vms !== this.#vms || share.requestsPerSecond !== requestsPerSecond) {
			share.vms = this.#vms;
			share.requestsPerSecond = requestsPerSecond;
			share.rate = this.#computeRate({id, bornAt}, requestsPerSecond);
			// Permits of a VM that has lost its share now belong to another one.
			share.permits = share.rate === 0 ? 0 : share.permits;
		}

		return share;
	}

	#create({id, bornAt}: endpointEntry.EndpointIncarnation, requestsPerSecond: number, now: number): Share {
		const share: Share = {
			bornAt,
			requestsPerSecond,
			vms: this.#vms,
			rate: this.#computeRate({id, bornAt}, requestsPerSecond),
			permits: 0,
			calls: maxLeaderCalls,
			filledAt: now,
		};
		if (share.rate > 0) {
			// The holders, which learn of a limit at about the same time, get their first permits one after the other.
			share.permits = util.hash32(`${this.vm}/${id}/${bornAt}`) / maxHash32;
		}

		this.#shares.set(id, share);
		return share;
	}

	#computeRate({id, bornAt}: endpointEntry.EndpointIncarnation, requestsPerSecond: number): number {
		const vms = this.#vms.includes(this.vm) ? this.#vms : [...this.#vms, this.vm];
		const holders = this.countHolders(requestsPerSecond, vms.length);
		const isHolder = holders === vms.length || util.rankByRendezvous(`${id}/${bornAt}`, vms).slice(0, holders).includes(this.vm);
		return isHolder ? requestsPerSecond / holders : 0;
	}
}
