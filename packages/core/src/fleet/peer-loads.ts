import type * as loadDigest from './load-digest.js';

type ReceivedDigest = {
	readonly process?: number;
	/** The VM's process before, whose digests may still arrive. */
	readonly previousProcess?: number;
	readonly sequence: number;
	readonly receivedAt: number;
	readonly endpoints: ReadonlyMap<string, loadDigest.EndpointDigest>;
};

/** Load of all other VMs on one endpoint. */
type EndpointTotal = {
	active: number;
	prefillTokens: number;
};

/** Minimum time for which a digest is used after its receipt, in milliseconds: several digest intervals of a VM. */
const minLifetimeMs = 1500;
/**
 * Lifetime of a digest per VM of the fleet, in milliseconds. In a large fleet a VM sends its digests to the others in
 * turn, so each VM receives them less often.
 */
const lifetimePerVmMs = 100;

/**
 * Load that other VMs put on the endpoints, by their latest digests. The total of each endpoint is kept up to date, so that the
 * time of a placement doesn't grow with the number of VMs.
 */
export class PeerLoads {
	readonly #digests = new Map<string, ReceivedDigest>();
	/** Digests that have not expired and are part of the totals, by VM; the oldest first. */
	readonly #counted = new Map<string, ReceivedDigest>();
	readonly #totals = new Map<string, EndpointTotal>();
	#lifetimeMs = minLifetimeMs;
	/** The VMs that were last retained. */
	#members: ReadonlySet<string> = new Set();
	#hasNonMembers = false;

	/** Whether digests were applied of VMs that {@link PeerLoads.retain} would remove. */
	get hasNonMembers(): boolean {
		return this.#hasNonMembers;
	}

	/** Applies a digest; ignores one that is not newer than the last digest of its VM. */
	applyDigest(digest: loadDigest.LoadDigest, now: number): void {
		const last = this.#digests.get(digest.vm);
		if (last !== undefined && !isNewer(digest, last)) {
			return;
		}

		const {process, sequence} = digest;
		const received: ReceivedDigest = {
			process,
			previousProcess: process === last?.process ? last?.previousProcess : last?.process,
			sequence,
			receivedAt: now,
			endpoints: new Map(digest.endpoints.map(entry => [entry.endpoint, entry])),
		};
		this.#digests.set(digest.vm, received);
		this.#hasNonMembers ||= !this.#members.has(digest.vm);
		this.#uncount(digest.vm);
		this.#count(digest.vm, received);
	}

	/** Returns the number of other VMs' requests in flight at an endpoint. */
	countActive(endpoint: string, now: number): number {
		this.#uncountExpired(now);
		return this.#totals.get(endpoint)?.active ?? 0;
	}

	/** Returns the prompt tokens of other VMs' requests that an endpoint still has to compute. */
	countPrefillTokens(endpoint: string, now: number): number {
		this.#uncountExpired(now);
		return this.#totals.get(endpoint)?.prefillTokens ?? 0;
	}

	/** Returns when an endpoint last sent data to another VM; `-Infinity` when unknown. */
	lastReceivedAt(endpoint: string): number {
		let latest = -Infinity;
		for (const {receivedAt, endpoints} of this.#digests.values()) {
			latest = Math.max(latest, receivedAt - (endpoints.get(endpoint)?.sinceLastReceivedMs ?? Infinity));
		}

		return latest;
	}

	/** Returns the VMs to which an endpoint has sent data since a time, by their latest digests. */
	listReceivers(endpoint: string, since: number): Set<string> {
		const receivers = [...this.#digests].filter(([, {receivedAt, endpoints}]) => receivedAt - (endpoints.get(endpoint)?.sinceLastReceivedMs ?? Infinity) > since);
		return new Set(receivers.map(([vm]) => vm));
	}

	/** Removes VMs that are no longer members, and adjusts the lifetime of digests to their number. */
	retain(vms: ReadonlySet<string>): void {
		this.#members = vms;
		this.#hasNonMembers = false;
		for (const vm of this.#digests.keys()) {
			if (!vms.has(vm)) {
				this.#digests.delete(vm);
				this.#uncount(vm);
			}
		}

		const lifetimeMs = Math.max(minLifetimeMs, vms.size * lifetimePerVmMs);
		if (lifetimeMs !== this.#lifetimeMs) {
			this.#lifetimeMs = lifetimeMs;
			this.#countAll();
		}
	}

	/** Counts all digests anew, the oldest first; those that have expired leave the totals at the next query. */
	#countAll(): void {
		this.#counted.clear();
		this.#totals.clear();
		const byAge = [...this.#digests].sort(([, a], [, b]) => a.receivedAt - b.receivedAt);
		for (const [vm, digest] of byAge) {
			this.#count(vm, digest);
		}
	}

	#uncountExpired(now: number): void {
		for (const [vm, {receivedAt}] of this.#counted) {
			if (now - receivedAt <= this.#lifetimeMs) {
				return;
			}

			this.#uncount(vm);
		}
	}

	#count(vm: string, digest: ReceivedDigest): void {
		this.#counted.set(vm, digest);
		for (const {endpoint, active, prefillTokens} of digest.endpoints.values()) {
			const total = this.#totals.get(endpoint);
			if (total === undefined) {
				this.#totals.set(endpoint, {active, prefillTokens});
			} else {
				total.active += active;
				total.prefillTokens += prefillTokens;
			}
		}
	}

	#uncount(vm: string): void {
		const digest = this.#counted.get(vm);
		if (digest === undefined) {
			return;
		}

		this.#counted.delete(vm);
		for (const {endpoint, active, prefillTokens} of digest.endpoints.values()) {
			const total = this.#totals.get(endpoint);
			// A total of zero is dropped, although digests may still state a load of zero.
			if (total === undefined) {
				continue;
			}

			total.active -= active;
			total.prefillTokens -= prefillTokens;
			if (total.active === 0 && total.prefillTokens === 0) {
				this.#totals.delete(endpoint);
			}
		}
	}
}

/** Returns whether a digest was sent after the last one of its VM; sequence numbers of different processes are not comparable. */
function isNewer({process, sequence}: loadDigest.LoadDigest, last: ReceivedDigest): boolean {
	return process === last.process ? sequence > last.sequence : process === undefined || process !== last.previousProcess;
}
