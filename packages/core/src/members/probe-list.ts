import type * as ids from '../model/ids.js';
import type * as random from '../util/random.js';

/** A ping without an answer so far. */
export type Probe = {
	readonly target: ids.VmId;
	readonly sequence: number;
	/** Ticks since the ping. */
	age: number;
};

/** A ping made for another router. */
export type Relay = {
	readonly origin: ids.VmId;
	readonly originSequence: number;
	readonly target: ids.VmId;
	readonly sequence: number;
	age: number;
};

/** Ticks after which helpers are asked. */
export const indirectAfterTicks = 1;
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
	begin(target: ids.VmId): Probe | undefined {
		for (const probe of this.probes.values()) {
			if (probe.target === target) {
				return undefined;
			}
		}

		const probe = {target, sequence: this.nextSequence(), age: 0};
		this.probes.set(probe.sequence, probe);
		return probe;
	}

	/** Begins a ping for another router; refused when too many are under way. */
	beginRelay(origin: ids.VmId, originSequence: number, target: ids.VmId): Relay | undefined {
		if (this.relays.size >= maxRelays) {
			return undefined;
		}

		const relay = {
			origin, originSequence, target, sequence: this.nextSequence(), age: 0,
		};
		this.relays.set(relay.sequence, relay);
		return relay;
	}

	/** Ends what an ack answers. Returns the relay when the ping was made for another router. */
	finish(sequence: number): Relay | undefined {
		this.probes.delete(sequence);
		const relay = this.relays.get(sequence);
		this.relays.delete(sequence);
		return relay;
	}

	/** Ages all pings by a tick. Returns the probes and relays still under way, and the targets that did not answer. */
	age(): {probes: Probe[]; relays: Relay[]; silent: ids.VmId[]} {
		const silent: ids.VmId[] = [];
		for (const probe of this.probes.values()) {
			probe.age += 1;
			if (probe.age >= suspectAfterTicks) {
				this.probes.delete(probe.sequence);
				silent.push(probe.target);
			}
		}

		for (const relay of this.relays.values()) {
			relay.age += 1;
			if (relay.age >= suspectAfterTicks) {
				this.relays.delete(relay.sequence);
			}
		}

		return {probes: [...this.probes.values()], relays: [...this.relays.values()], silent};
	}

	/** Forgets all pings under way. */
	clear(): void {
		this.probes.clear();
		this.relays.clear();
	}
}
