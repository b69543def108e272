import type * as loadDigest from './load-digest.js';

type ReceivedDigest = {
	readonly sequence: number;
	readonly receivedAt: number;
	readonly endpoints: ReadonlyMap<string, loadDigest.EndpointDigest>;
};

/** Minimum time for which a digest is used after its receipt, in milliseconds: several digest intervals of a VM. */
const minLifetimeMs = 1500;
/**
 * Lifetime of a digest per VM of the fleet, in milliseconds. In a large fleet a VM sends its digests to the others in
 * turn, so each VM receives them less often.
 */
const lifetimePerVmMs = 100;

/** Load that other VMs put on the endpoints, by their latest digests. */
export class PeerLoads {
	readonly #digests = new Map<string, ReceivedDigest>();
	#lifetimeMs = minLifetimeMs;

	/** Applies a digest; ignores one that is not newer than the last digest of its VM. */
	applyDigest(digest: loadDigest.LoadDigest, now: number): void {
		const last = this.#digests.get(digest.vm);
		if (last !== undefined && last.sequence >= digest.sequence) {
			return;
		}

		this.#digests.set(digest.vm, {
			sequence: digest.sequence, receivedAt: now, endpoints: new Map(digest.endpoints.map(entry => [entry.endpoint, entry])),
		});
	}

	/** Returns the number of other VMs' requests in flight at an endpoint. */
	countActive(endpoint: string, now: number): number {
		return this.#sum(endpoint, now, entry => entry.active);
	}

	/** Returns the prompt tokens of other VMs' requests that an endpoint still has to compute. */
	countPrefillTokens(endpoint: string, now: number): number {
		return this.#sum(endpoint, now, entry => entry.prefillTokens);
	}

	/** Returns when an endpoint last sent data to another VM; `-Infinity` when unknown. */
	lastReceivedAt(endpoint: string): number {
		let latest = -Infinity;
		for (const {receivedAt, endpoints} of this.#digests.values()) {
			latest = Math.max(latest, receivedAt - (endpoints.get(endpoint)?.sinceLastReceivedMs ?? Infinity));
		}

		return latest;
	}

	/** Removes VMs that are no longer members, and adjusts the lifetime of digests to their number. */
	retain(vms: ReadonlySet<string>): void {
		this.#lifetimeMs = Math.max(minLifetimeMs, vms.size * lifetimePerVmMs);
		for (const vm of this.#digests.keys()) {
			if (!vms.has(vm)) {
				this.#digests.delete(vm);
			}
		}
	}

	#sum(endpoint: string, now: number, valueOf: (entry: loadDigest.EndpointDigest) => number): number {
		let sum = 0;
		for (const {receivedAt, endpoints} of this.#digests.values()) {
			const entry = endpoints.get(endpoint);
			if (entry !== undefined && now - receivedAt <= this.#lifetimeMs) {
				sum += valueOf(entry);
			}
		}

		return sum;
	}
}
