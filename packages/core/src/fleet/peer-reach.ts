import type * as poolReach from './pool-reach.js';

/** What a VM tells the others of the pools that it reaches, and of where it takes their requests. */
export type ReachDigest = {
	/** `IP:PORT` at which the VM takes requests that other VMs relay. */
	readonly relayAddress: string;
	readonly dataCentre: string;
	readonly pools: readonly poolReach.ReachedPool[];
};

/** A VM that takes relayed requests. */
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
	/** VMs that are not chosen. */
	readonly excluded: ReadonlySet<string>;
	/** When data last arrived from the pool at this VM; a helper has had data since. In milliseconds of the monotonic clock. */
	readonly silentSince: number;
};

type PeerRecord = {
	readonly relayAddress: string;
	readonly dataCentre: string;
	readonly reachedAt: ReadonlyMap<string, number>;
	failedAt: number;
	/** Requests of this VM that are in progress there. */
	active: number;
};

/** Time for which what a VM told is used, as for its load: at least some intervals of its digests, longer where VMs take turns. */
const minLifetimeMs = 1500;
const lifetimePerVmMs = 100;
/** Time for which a VM is not chosen after it failed or refused to help, in milliseconds. */
const failurePauseMs = 500;
/** Helpers that are compared by the requests that this VM has in progress there. */
const comparedHelpers = 2;

/** The pools that other VMs reach, as they tell, and the choice of one that takes a request. All times are in milliseconds of the monotonic clock. */
export class PeerReach {
	readonly #peers = new Map<string, PeerRecord>();
	#lifetimeMs = minLifetimeMs;

	/** Applies what a VM tells. */
	applyDigest(vm: string, {relayAddress, dataCentre, pools}: ReachDigest, now: number): void {
		const known = this.#peers.get(vm);
		const isSame = known?.relayAddress === relayAddress;
		this.#peers.set(vm, {
			relayAddress,
			dataCentre,
			reachedAt: new Map(pools.map(({pool, ageMs}) => [pool, now - ageMs])),
			failedAt: isSame ? known.failedAt : -Infinity,
			active: known?.active ?? 0,
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
	 * Chooses a VM that reaches a pool: one of the own data centre, if there is any, and of two of them the one with fewer requests of this VM.
	 *
	 * @param random - Returns a random number from 0 (inclusive) to 1 (exclusive).
	 */
	choose({pool, dataCentre, excluded, silentSince}: HelperQuery, random: () => number, now: number): HelperVm | undefined {
		const reaching = [...this.#peers].filter(([vm, peer]) =>
			!excluded.has(vm) && now - peer.failedAt >= failurePauseMs && this.#reaches(peer, pool, silentSince, now));
		const near = reaching.filter(([, peer]) => peer.dataCentre === dataCentre);
		const candidates = near.length > 0 ? near : reaching;
		let best: [string, PeerRecord] | undefined;
		for (let count = 0; count < comparedHelpers && candidates.length > 0; count++) {
			const candidate = candidates[Math.floor(random() * candidates.length)]!;
			best = best === undefined || candidate[1].active < best[1].active ? candidate : best;
		}

		return best && {vm: best[0], address: best[1].relayAddress};
	}

	/** Records that a request was relayed to a VM. */
	recordSent(vm: string): void {
		this.#addActive(vm, 1);
	}

	/** Records that a relayed request has ended. */
	recordEnd(vm: string): void {
		this.#addActive(vm, -1);
	}

	/** Records that a VM failed to take a request, so that others are chosen for a time. */
	recordFailure(vm: string, now: number): void {
		const peer = this.#peers.get(vm);
		if (peer !== undefined) {
			peer.failedAt = now;
		}
	}

	#addActive(vm: string, change: number): void {
		const peer = this.#peers.get(vm);
		if (peer !== undefined) {
			peer.active = Math.max(0, peer.active + change);
		}
	}

	#reaches({reachedAt}: PeerRecord, pool: string, silentSince: number, now: number): boolean {
		const at = reachedAt.get(pool) ?? -Infinity;
		return at > silentSince && now - at <= this.#lifetimeMs;
	}
}
