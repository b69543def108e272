import type * as endpointEntry from './endpoint-entry.js';
import type * as loadDigest from './load-digest.js';

/** Limits on the pauses that other VMs tell of. */
export type PeerPausesOptions = {
	/** Longest time for which a pause is considered after its last digest, in milliseconds. */
	readonly maxLifetimeMs: number;
	/** Maximum number of pauses that are kept. */
	readonly maxPauses: number;
};

/** Digests repeat a pause while it lasts; in the largest fleet the digests of one VM reach all others within 15 s. */
export const defaultPeerPausesOptions: PeerPausesOptions = {maxLifetimeMs: 30_000, maxPauses: 10_000};

type PeerPause = {
	readonly bornAt: number;
	readonly endsAt: number;
};

/** Pauses that endpoints asked other VMs for. Such an endpoint may still serve this VM, but will probably ask it for a pause too. */
export class PeerPauses {
	/** Pauses by endpoint, the one that was updated last last. */
	readonly #pauses = new Map<string, PeerPause>();

	constructor(private readonly options: PeerPausesOptions = defaultPeerPausesOptions) {}

	/** Number of endpoints with a pause that has not been removed. */
	get size(): number {
		return this.#pauses.size;
	}

	/** Applies the pauses of a digest. */
	apply(pauses: readonly loadDigest.PauseDigest[], now: number): void {
		for (const {endpoint, bornAt, remainingMs} of pauses) {
			this.#pauses.delete(endpoint);
			this.#pauses.set(endpoint, {bornAt, endsAt: now + Math.min(remainingMs, this.options.maxLifetimeMs)});
		}

		while (this.#pauses.size > this.options.maxPauses) {
			const [oldest] = this.#pauses.keys();
			this.#pauses.delete(oldest!);
		}
	}

	/** Returns whether an endpoint has asked another VM for a pause that lasts. */
	isPaused({id, bornAt}: endpointEntry.EndpointIncarnation, now: number): boolean {
		const pause = this.#pauses.get(id);
		return pause?.bornAt === bornAt && now < pause.endsAt;
	}

	/** Removes the pauses that have ended. */
	removeEnded(now: number): void {
		for (const [endpoint, {endsAt}] of this.#pauses) {
			if (now >= endsAt) {
				this.#pauses.delete(endpoint);
			}
		}
	}
}
