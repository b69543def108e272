import type * as loadDigest from './load-digest.js';

type Received = {
	readonly sequence: number;
	readonly at: number;
	readonly endpoints: ReadonlyMap<string, loadDigest.EndpointDigest>;
};

/** Age after which a digest says nothing any more, in milliseconds: several intervals between digests of a VM. */
const minLifetimeMs = 1500;
/** The same for each VM of a large fleet, whose VMs tell each other in turn. */
const lifetimePerVmMs = 100;

/** What the other VMs have under way at the endpoints, by their latest digests. */
export class PeerLoads {
	readonly #received = new Map<string, Received>();
	#lifetimeMs = minLifetimeMs;

	/** Takes a digest; an older one than the last is ignored. */
	note(digest: loadDigest.LoadDigest, now: number): void {
		const last = this.#received.get(digest.vm);
		if (last !== undefined && last.sequence >= digest.sequence) {
			return;
		}

		this.#received.set(digest.vm, {
			sequence: digest.sequence, at: now, endpoints: new Map(digest.endpoints.map(entry => [entry.endpoint, entry])),
		});
	}

	/** Requests that other VMs have under way at an endpoint. */
	active(endpoint: string, now: number): number {
		return this.#sum(endpoint, now, digest => digest.active);
	}

	/** Prompt tokens of other VMs' requests that an endpoint has still to compute. */
	prefillTokens(endpoint: string, now: number): number {
		return this.#sum(endpoint, now, digest => digest.prefillTokens);
	}

	/** When an endpoint last sent anything to another VM, as far as is known. */
	heardAt(endpoint: string): number {
		let heardAt = -Infinity;
		for (const {at, endpoints} of this.#received.values()) {
			heardAt = Math.max(heardAt, at - (endpoints.get(endpoint)?.heardAgoMs ?? Infinity));
		}

		return heardAt;
	}

	/** Forgets VMs that are no longer members, and fits the lifetime of digests to their number. */
	retain(vms: ReadonlySet<string>): void {
		this.#lifetimeMs = Math.max(minLifetimeMs, vms.size * lifetimePerVmMs);
		for (const vm of this.#received.keys()) {
			if (!vms.has(vm)) {
				this.#received.delete(vm);
			}
		}
	}

	#sum(endpoint: string, now: number, valueOf: (digest: loadDigest.EndpointDigest) => number): number {
		let sum = 0;
		for (const {at, endpoints} of this.#received.values()) {
			const digest = endpoints.get(endpoint);
			if (digest !== undefined && now - at <= this.#lifetimeMs) {
				sum += valueOf(digest);
			}
		}

		return sum;
	}
}
