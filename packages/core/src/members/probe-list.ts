import type * as ids from '../model/ids.js';
import type * as random from '../util/random.js';

/** A ping that has not been answered yet. */
export type Probe = {
	readonly target: ids.VmId;
	readonly sequence: number;
	/** Ticks since the ping was sent. */
	ageTicks: number;
};

/** A ping sent on behalf of another router. */
export type Relay = {
	readonly origin: ids.VmId;
	readonly originSequence: number;
	readonly target: ids.VmId;
	readonly sequence: number;
	ageTicks: number;
};

/** Ticks after which other routers are asked to ping the target. */
export const indirectProbeAfterTicks = 1;
/** Ticks after which the target of an unanswered probe is suspected. */
export const suspectAfterTicks = 3;
const maxRelays = 32;

/** Tracks the probes and relays in progress, and the order in which neighbours are probed. */
export class ProbeList {
	private readonly probes = new Map<number, Probe>();
	private readonly relays = new Map<number, Relay>();
	private queue: ids.VmId[] = [];
	private sequence = 0;

	constructor(private readonly generator: random.SeededRandom) {}

	nextSequence(): number {
		this.sequence += 1;
		return this.sequence;
	}

	/** Returns the next neighbour to probe; each round goes over all neighbours in a new random order. */
	nextTarget(neighbours: readonly ids.VmId[]): ids.VmId | undefined {
		const known = new Set(neighbours);
		for (;;) {
			const candidate = this.queue.pop();
			if (candidate === undefined) {
				break;
			}

			if (known.has(candidate)) {
				return candidate;
			}
		}

		this.queue = this.generator.shuffle(neighbours);
		return this.queue.pop();
	}

	/** Starts a probe. Returns `undefined` when one of the target is in progress. */
	startProbe(target: ids.VmId): Probe | undefined {
		for (const probe of this.probes.values()) {
			if (probe.target === target) {
				return undefined;
			}
		}

		const probe = {target, sequence: this.nextSequence(), ageTicks: 0};
		this.probes.set(probe.sequence, probe);
		return probe;
	}

	/** Starts a ping on behalf of another router. Returns `undefined` when too many relays are in progress. */
	startRelay(origin: ids.VmId, originSequence: number, target: ids.VmId): Relay | undefined {
		if (this.relays.size >= maxRelays) {
			return undefined;
		}

		const relay = {
			origin, originSequence, target, sequence: this.nextSequence(), ageTicks: 0,
		};
		this.relays.set(relay.sequence, relay);
		return relay;
	}

	/** Removes the probe or relay that an ack answers. Returns the relay if it was one. */
	complete(sequence: number): Relay | undefined {
		this.probes.delete(sequence);
		const relay = this.relays.get(sequence);
		this.relays.delete(sequence);
		return relay;
	}

	/**
	 * Ages all probes and relays by one tick and drops those that timed out. Returns those in progress, and the targets
	 * of the probes that timed out.
	 */
	advanceTick(): {probes: Probe[]; relays: Relay[]; unanswered: ids.VmId[]} {
		const unanswered: ids.VmId[] = [];
		for (const probe of this.probes.values()) {
			probe.ageTicks += 1;
			if (probe.ageTicks >= suspectAfterTicks) {
				this.probes.delete(probe.sequence);
				unanswered.push(probe.target);
			}
		}

		for (const relay of this.relays.values()) {
			relay.ageTicks += 1;
			if (relay.ageTicks >= suspectAfterTicks) {
				this.relays.delete(relay.sequence);
			}
		}

		return {probes: [...this.probes.values()], relays: [...this.relays.values()], unanswered};
	}

	/** Drops all probes and relays. */
	clear(): void {
		this.probes.clear();
		this.relays.clear();
	}
}
