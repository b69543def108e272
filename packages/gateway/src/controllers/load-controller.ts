import type * as core from '@bluebellmast/core';
import type * as peers from '../peers/index.js';
import type * as fleetState from '../placement/fleet-state.js';
import type * as clocks from '../util/clocks.js';
import type * as dutyController from './duty-controller.js';

/** What the controller works with. */
export type LoadControllerParts = {
	readonly vm: string;
	readonly fleet: fleetState.FleetState;
	readonly duties: Pick<dutyController.DutyController, 'peerAddresses'>;
	readonly exchange: Pick<peers.LoadExchange, 'send'>;
	readonly clock: clocks.Clocks;
};

/** Pause between the sending of a large prompt and the digest that tells of it, in milliseconds; several are told at once. */
const promptDelayMs = 5;
/**
 * Other VMs that get one digest; larger fleets are told in turn. Six digests of about 330 bytes seven times a second are
 * 14 KB/s, of the 19 KB/s of control that a node may spend.
 */
const maxPeers = 6;
/** Pause between two digests without news, in milliseconds. */
const idleDigestMs = 200;
/** Signs in one digest, which keep it below one packet. */
const maxSigns = 24;

/** Tells the other VMs what this one has under way at each endpoint, and where it sent large prompt parts. */
export class LoadController {
	#sequence = Date.now();
	#wasIdle = false;
	readonly #signs: core.fleet.CacheObservation[] = [];
	#timer: NodeJS.Timeout | undefined;
	/** Peers that were told so far, counted on to tell the next ones. */
	#told = 0;
	#sentAt = -Infinity;

	constructor(private readonly parts: LoadControllerParts) {}

	/** Takes signs of cached parts, and tells the others soon: the next request for a part may come to any VM. */
	noteSigns(signs: readonly core.fleet.CacheObservation[]): void {
		const now = this.parts.clock.monotonicNow();
		for (const sign of signs) {
			this.parts.fleet.parts.applyObservation(sign, now);
		}

		this.#signs.push(...signs);
		this.#schedule();
	}

	/** Takes a digest of another VM. */
	takeDigest(digest: core.fleet.LoadDigest): void {
		const now = this.parts.clock.monotonicNow();
		this.parts.fleet.peers.applyDigest(digest, now);
		for (const sign of digest.cacheObservations) {
			this.parts.fleet.parts.applyObservation(sign, now);
		}
	}

	/** Sends a digest; an idle VM sends one and then rests. */
	tick(): void {
		const isIdle = this.parts.fleet.loads.listBusyEndpoints().length === 0;
		const isDue = this.parts.clock.monotonicNow() - this.#sentAt >= idleDigestMs;
		if (isDue && !(isIdle && this.#wasIdle)) {
			this.#send();
			this.#wasIdle = isIdle;
		}
	}

	/** Sends nothing more. */
	stop(): void {
		clearTimeout(this.#timer);
	}

	#schedule(): void {
		this.#timer ??= setTimeout(() => {
			this.#send();
		}, promptDelayMs);
	}

	#send(): void {
		const {vm, exchange} = this.parts;
		clearTimeout(this.#timer);
		this.#timer = undefined;
		const signs = this.#signs.splice(0, maxSigns);
		this.#sequence += 1;
		this.#sentAt = this.parts.clock.monotonicNow();
		exchange.send({
			vm, sequence: this.#sequence, endpoints: this.#describe(), cacheObservations: signs,
		}, this.#choosePeers(signs));
		if (this.#signs.length > 0) {
			this.#schedule();
		}
	}

	/** News of the cache store come from few VMs, so they go to all; what this VM sent goes to some in turn. */
	#choosePeers(signs: readonly core.fleet.CacheObservation[]): string[] {
		const addresses = this.parts.duties.peerAddresses(this.parts.vm);
		const isStoreNews = signs.some(sign => sign.endpoint === '');
		if (isStoreNews || addresses.length <= maxPeers) {
			return addresses;
		}

		const first = this.#told % addresses.length;
		this.#told += maxPeers;
		return [...addresses, ...addresses].slice(first, first + maxPeers);
	}

	#describe(): core.fleet.EndpointDigest[] {
		const {fleet, clock} = this.parts;
		const now = clock.monotonicNow();
		return fleet.loads.listBusyEndpoints().map(endpoint => {
			const heardAt = fleet.health.lastReceivedAt(endpoint);
			return {
				endpoint,
				active: fleet.loads.countOwnActive(endpoint),
				prefillTokens: fleet.loads.countPrefillTokens(endpoint),
				sinceLastReceivedMs: Number.isFinite(heardAt) ? Math.round(now - heardAt) : undefined,
			};
		});
	}
}
