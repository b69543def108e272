import type * as ids from '../model/ids.js';
import type * as random from '../util/random.js';

/** A ping without an answer so far. */
export type Probe = {
	readonly target: ids.VmId;
	readonly sequence: number;
	/** Ticks since the ping. */
	ageTicks: number;
};

/** A ping made for another router. */
export type Relay = {
	readonly origin: ids.VmId;
	readonly originSequence: number;
	readonly target: ids.VmId;
	readonly sequence: number;
	ageTicks: number;
};

/** Ticks after which helpers are asked. */
export const indirectProbeAfterTicks = 1;
/** Ticks after which an unanswered probe makes its target a suspect. */
export const suspectAfterTicks = 3;
const maxRelays = 32;

/** The pings under way and the order in which neighbours are probed. */
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

	/** Returns the next neighbour to probe; goes over all, in a new random order each round. */
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

	/** Begins a probe unless one of the target is under way. */
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

	/** Begins a ping for another router; refused when too many are under way. */
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

	/** Ends what an ack answers. Returns the relay when the ping was made for another router. */
	complete(sequence: number): Relay | undefined {
		this.probes.delete(sequence);
		const relay = this.relays.get(sequence);
		this.relays.delete(sequence);
		return relay;
	}

	/** Ages all pings by a tick. Returns the probes and relays still under way, and the targets that did not answer. */
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

	/** Forgets all pings under way. */
	clear(): void {
		this.probes.clear();
		this.relays.clear();
	}
}
