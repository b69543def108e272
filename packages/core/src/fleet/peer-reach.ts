import type * as endpointPaths from './endpoint-paths.js';

/** The pools that a VM reaches and the address of its tunnels, as published in its digests. */
export type ReachDigest = {
	/** `IP:PORT` at which the VM opens connections to endpoints for other VMs. */
	readonly tunnelAddress: string;
	readonly dataCentre: string;
	readonly pools: readonly endpointPaths.ReachedPool[];
};

/** A VM through which an endpoint is connected to. */
export type HelperVm = {
	readonly vm: string;
	/** `IP:PORT`. */
	readonly address: string;
};

/** What a helper is chosen by. */
export type HelperQuery = {
	readonly pool: string;
	/** Data centre of this VM, whose VMs are preferred. */
	readonly dataCentre: string;
	/** VMs that have had data from the endpoint lately, which are preferred to all others. */
	readonly receivers: ReadonlySet<string>;
	/** When data last arrived from the pool at this VM; a helper has had data since. In milliseconds of the monotonic clock. */
	readonly silentSince: number;
};

type PeerRecord = {
	readonly tunnelAddress: string;
	readonly dataCentre: string;
	readonly reachedAt: ReadonlyMap<string, number>;
	failedAt: number;
};

/** Lifetime of a digest, as for its loads: several digest intervals, longer in large fleets, whose VMs send to each other in turn. */
const minLifetimeMs = 1500;
const lifetimePerVmMs = 100;
/** Time for which a VM is not chosen after it failed or refused to help, in milliseconds. */
const failurePauseMs = 500;

/** The pools that other VMs reach, by their latest digests, and the choice of a VM to connect through. All times are in milliseconds of the monotonic clock. */
export class PeerReach {
	readonly #peers = new Map<string, PeerRecord>();
	#lifetimeMs = minLifetimeMs;

	/** Applies the digest of a VM. */
	applyDigest(vm: string, {tunnelAddress, dataCentre, pools}: ReachDigest, now: number): void {
		const known = this.#peers.get(vm);
		this.#peers.set(vm, {
			tunnelAddress,
			dataCentre,
			reachedAt: new Map(pools.map(({pool, ageMs}) => [pool, now - ageMs])),
			failedAt: known?.tunnelAddress === tunnelAddress ? known.failedAt : -Infinity,
		});
	}

	/** Removes VMs that are no longer members. */
	retain(vms: ReadonlySet<string>): void {
		for (const vm of this.#peers.keys()) {
			if (!vms.has(vm)) {
				this.#peers.delete(vm);
			}
		}

		this.#lifetimeMs = Math.max(minLifetimeMs, vms.size * lifetimePerVmMs);
	}

	/** Counts the VMs that have had data from a pool since a time. */
	countReaching(pool: string, silentSince: number, now: number): number {
		return [...this.#peers.values()].filter(peer => this.#reaches(peer, pool, silentSince, now)).length;
	}

	/**
	 * Chooses a VM that reaches a pool: one that has had data from the endpoint, if there is any, then one of the own data centre.
	 *
	 * @param random - Returns a random number from 0 (inclusive) to 1 (exclusive).
	 */
	choose({pool, dataCentre, receivers, silentSince}: HelperQuery, random: () => number, now: number): HelperVm | undefined {
		const reaching = [...this.#peers].filter(([, peer]) =>
			now - peer.failedAt >= failurePauseMs && this.#reaches(peer, pool, silentSince, now));
		const certain = preferIf(reaching, ([vm]) => receivers.has(vm));
		const candidates = preferIf(certain, ([, peer]) => peer.dataCentre === dataCentre);
		const chosen = candidates[Math.floor(random() * candidates.length)];
		return chosen && {vm: chosen[0], address: chosen[1].tunnelAddress};
	}

	/** Records that a VM did not open a connection, so that others are chosen for a time. */
	recordFailure(vm: string, now: number): void {
		const peer = this.#peers.get(vm);
		if (peer !== undefined) {
			peer.failedAt = now;
		}
	}

	#reaches({reachedAt}: PeerRecord, pool: string, silentSince: number, now: number): boolean {
		const at = reachedAt.get(pool) ?? -Infinity;
		return at > silentSince && now - at <= this.#lifetimeMs;
	}
}

/** Returns the items that meet a condition, or all if none does. */
function preferIf<Item>(items: readonly Item[], condition: (item: Item) => boolean): readonly Item[] {
	const preferred = items.filter(item => condition(item));
	return preferred.length > 0 ? preferred : items;
}
