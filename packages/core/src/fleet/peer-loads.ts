import type * as loadDigest from './load-digest.js';

type ReceivedDigest = {
	readonly sequence: number;
	readonly receivedAt: number;
	readonly endpoints: ReadonlyMap<string, loadDigest.EndpointDigest>;
};

/** Age after which a digest says nothing any more, in milliseconds: several intervals between digests of a VM. */
const minLifetimeMs = 1500;
/** The same for each VM of a large fleet, whose VMs tell each other in turn. */
const lifetimePerVmMs = 100;

/** What the other VMs have under way at the endpoints, by their latest digests. */
export class PeerLoads {
	readonly #digests = new Map<string, ReceivedDigest>();
	#lifetimeMs = minLifetimeMs;

	/** Takes a digest; an older one than the last is ignored. */
	applyDigest(digest: loadDigest.LoadDigest, now: number): void {
		const last = this.#digests.get(digest.vm);
		if (last !== undefined && last.sequence >= digest.sequence) {
			return;
		}

		this.#digests.set(digest.vm, {
			sequence: digest.sequence, receivedAt: now, endpoints: new Map(digest.endpoints.map(entry => [entry.endpoint, entry])),
		});
	}

	/** Requests that other VMs have under way at an endpoint. */
	countActive(endpoint: string, now: number): number {
		return this.#sum(endpoint, now, digest => digest.active);
	}

	/** Prompt tokens of other VMs' requests that an endpoint has still to compute. */
	countPrefillTokens(endpoint: string, now: number): number {
		return this.#sum(endpoint, now, digest => digest.prefillTokens);
	}

	/** When an endpoint last sent anything to another VM, as far as is known. */
	lastReceivedAt(endpoint: string): number {
		let heardAt = -Infinity;
		for (const {receivedAt: at, endpoints} of this.#digests.values()) {
			heardAt = Math.max(heardAt, at - (endpoints.get(endpoint)?.sinceLastReceivedMs ?? Infinity));
		}

		return heardAt;
	}

	/** Forgets VMs that are no longer members, and fits the lifetime of digests to their number. */
	retain(vms: ReadonlySet<string>): void {
		this.#lifetimeMs = Math.max(minLifetimeMs, vms.size * lifetimePerVmMs);
		for (const vm of this.#digests.keys()) {
			if (!vms.has(vm)) {
				this.#digests.delete(vm);
			}
		}
	}

	#sum(endpoint: string, now: number, valueOf: (digest: loadDigest.EndpointDigest) => number): number {
		let sum = 0;
		for (const {receivedAt: at, endpoints} of this.#digests.values()) {
			const digest = endpoints.get(endpoint);
			if (digest !== undefined && now - at <= this.#lifetimeMs) {
				sum += valueOf(digest);
			}
		}

		return sum;
	}
}
