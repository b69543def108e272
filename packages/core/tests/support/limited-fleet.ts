import * as core from '@bluebellmast/core';

/** Faults of a simulated fleet. */
export type LimitedFleetFaults = {
	/** Share of the digests that get lost. */
	readonly digestLoss: number;
	/** Largest delay of a digest, in milliseconds; digests overtake each other. */
	readonly digestDelayMs: number;
	/** Mean time between the stops of two VMs, in milliseconds; `Infinity` for none. A VM returns under its name after 2 s. */
	readonly stopIntervalMs: number;
	/** When all VMs restart at once, in milliseconds; `Infinity` for never. */
	readonly restartAllAt: number;
	/** Share of the VMs that learn of changes of the list of VMs 5 s late. */
	readonly lateShare: number;
};

export const noFaults: LimitedFleetFaults = {
	digestLoss: 0, digestDelayMs: 2, stopIntervalMs: Infinity, restartAllAt: Infinity, lateShare: 0,
};

/** Scenario of a simulated fleet before endpoints that all state the same limit. */
export type LimitedFleetScenario = {
	readonly vms: number;
	readonly endpoints: number;
	readonly requestsPerSecond: number;
	/** Callers' requests a second over all VMs. */
	readonly load: number;
	/** Callers send nothing between these times, in milliseconds. */
	readonly quiet?: {readonly from: number; readonly until: number};
	readonly faults?: Partial<LimitedFleetFaults>;
	readonly countHolders?: (requestsPerSecond: number, vmCount: number) => number;
	readonly seed: number;
};

/** What a simulation has counted, after the limits have had 3 s to settle. */
export type LimitedFleetResult = {
	/** The most requests in 4 s that reached one endpoint from VMs that had got a response with its limit half a second before or earlier. */
	readonly maxInWindow: number;
	/** Share of the permitted requests that were sent. */
	readonly usedShare: number;
	/** Bytes of limits that a VM sends in digests, a second. */
	readonly bytesPerVm: number;
};

type SimulatedVm = {
	readonly name: string;
	limits: core.limits.RequestLimits;
	isUp: boolean;
	returnsAt: number;
	/** When the first response with its limit arrived since the last start, by endpoint. */
	readonly toldAt: Map<string, number>;
	isLate: boolean;
	firstPeer: number;
};

const stepMs = 20;
const durationMs = 20_000;
const settleMs = 3000;
const windowMs = 4000;
const digestIntervalMs = 200;
const peersPerDigest = 6;
const rowsPerDigest = 4;
/** Size of a limit in a digest. */
const rowBytes = 30;
const responseMs = 60;
const toldMs = 500;
const downMs = 2000;
const lateMs = 5000;

/** A fleet of VMs that send callers' requests to limited endpoints, in virtual time. */
export class LimitedFleet {
	readonly #random: core.util.SeededRandom;
	readonly #faults: LimitedFleetFaults;
	readonly #vms: SimulatedVm[];
	readonly #endpoints: core.fleet.EndpointIncarnation[];
	readonly #arrivals = new Map<string, number[]>();
	/** What happens in the coming steps. */
	readonly #messages = new Map<number, Array<() => void>>();
	#sent = 0;
	#bytes = 0;
	#owed = 0;
	#nextStopAt: number;

	constructor(private readonly scenario: LimitedFleetScenario) {
		this.#random = new core.util.SeededRandom(scenario.seed);
		this.#faults = {...noFaults, ...scenario.faults};
		this.#nextStopAt = this.#faults.stopIntervalMs;
		this.#endpoints = Array.from({length: scenario.endpoints}, (_, index) => ({id: `e-${scenario.seed}-${index}`, bornAt: 1}));
		this.#vms = Array.from({length: scenario.vms}, (_, index) => ({
			name: `vm-${index}`, limits: this.#createLimits(`vm-${index}`), isUp: true, returnsAt: Infinity, toldAt: new Map(), firstPeer: index,
			isLate: this.#draw() < this.#faults.lateShare,
		}));
		this.#publishVms(0, this.#vms);
	}

	run(): LimitedFleetResult {
		for (let now = 0; now < durationMs; now += stepMs) {
			this.#step(now);
		}

		const seconds = (durationMs - settleMs) / 1000;
		return {
			maxInWindow: Math.max(0, ...[...this.#arrivals.values()].map(arrivals => countMost(arrivals))),
			usedShare: this.#sent / (seconds * this.scenario.requestsPerSecond * this.scenario.endpoints),
			bytesPerVm: this.#bytes / this.scenario.vms / (durationMs / 1000),
		};
	}

	#createLimits(name: string): core.limits.RequestLimits {
		return new core.limits.RequestLimits(name, this.scenario.countHolders);
	}

	#step(now: number): void {
		for (const apply of this.#messages.get(now) ?? []) {
			apply();
		}

		this.#messages.delete(now);
		this.#changeVms(now);
		if (now % digestIntervalMs === 0) {
			for (const vm of this.#vms.filter(({isUp}) => isUp)) {
				this.#sendDigest(vm, now);
			}
		}

		const {load, quiet = {from: Infinity, until: Infinity}} = this.scenario;
		this.#owed += now >= quiet.from && now < quiet.until ? 0 : load * stepMs / 1000;
		for (; this.#owed >= 1; this.#owed -= 1) {
			const vm = this.#vms[Math.floor(this.#draw() * this.#vms.length)]!;
			if (vm.isUp) {
				this.#sendRequest(vm, now);
			}
		}
	}

	#sendRequest(vm: SimulatedVm, now: number): void {
		const free = this.#endpoints.filter(endpoint => vm.limits.waitMs(endpoint, now) === 0);
		const endpoint = free[Math.floor(this.#draw() * free.length)];
		if (endpoint === undefined || !vm.limits.take(endpoint, now)) {
			return;
		}

		const {limits, toldAt} = vm;
		if (now >= settleMs) {
			this.#sent += 1;
			if (now - (toldAt.get(endpoint.id) ?? Infinity) >= toldMs) {
				const arrivals = this.#arrivals.get(endpoint.id) ?? [];
				arrivals.push(now);
				this.#arrivals.set(endpoint.id, arrivals);
			}
		}

		const {requestsPerSecond} = this.scenario;
		this.#post(now + responseMs, () => {
			limits.record(endpoint, {limit: {requestsPerSecond, text: ''}, isAuthoritative: true}, now + responseMs);
			if (limits === vm.limits && !toldAt.has(endpoint.id)) {
				toldAt.set(endpoint.id, now + responseMs);
			}
		});
	}

	#sendDigest(vm: SimulatedVm, now: number): void {
		const rows = vm.limits.takeDigest(rowsPerDigest, now);
		const others = this.#vms.filter(other => other !== vm);
		for (let index = 0; index < Math.min(peersPerDigest, others.length); index++) {
			const peer = others[(vm.firstPeer + index) % others.length]!;
			this.#bytes += rows.length * rowBytes;
			if (this.#draw() >= this.#faults.digestLoss) {
				const at = now + (this.#draw() * this.#faults.digestDelayMs);
				this.#post(at, () => {
					peer.limits.applyDigest(rows, at);
				});
			}
		}

		vm.firstPeer += peersPerDigest;
	}

	#changeVms(now: number): void {
		const restartsAll = now === this.#faults.restartAllAt;
		const stopped = restartsAll ? this.#vms : (now >= this.#nextStopAt ? [this.#vms[Math.floor(this.#draw() * this.#vms.length)]!] : []);
		if (stopped.length > 0) {
			this.#nextStopAt = now + (this.#faults.stopIntervalMs * (0.5 + this.#draw()));
		}

		for (const vm of stopped) {
			vm.isUp = false;
			vm.returnsAt = now + (restartsAll ? this.#draw() * downMs : downMs);
			vm.limits = this.#createLimits(vm.name);
			vm.toldAt.clear();
		}

		const returned = this.#vms.filter(({returnsAt}) => returnsAt <= now);
		for (const vm of returned) {
			vm.isUp = true;
			vm.returnsAt = Infinity;
		}

		if (stopped.length + returned.length > 0) {
			this.#publishVms(now, returned);
		}
	}

	/** Updates the list of VMs at each VM; one that starts has read it before its first request. */
	#publishVms(now: number, started: readonly SimulatedVm[]): void {
		const names = this.#vms.filter(({isUp}) => isUp).map(({name}) => name);
		for (const vm of this.#vms) {
			const {limits} = vm;
			if (vm.isLate && !started.includes(vm)) {
				this.#post(now + lateMs, () => {
					limits.setVms(names);
				});
			} else {
				limits.setVms(names);
			}
		}
	}

	/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
	#draw(): number {
		return this.#random.int(1_000_000) / 1_000_000;
	}

	#post(at: number, apply: () => void): void {
		const step = Math.ceil(at / stepMs) * stepMs;
		const messages = this.#messages.get(step) ?? [];
		messages.push(apply);
		this.#messages.set(step, messages);
	}
}

function countMost(arrivals: readonly number[]): number {
	let most = 0;
	let first = 0;
	for (const [index, at] of arrivals.entries()) {
		while (arrivals[first]! <= at - windowMs) {
			first += 1;
		}

		most = Math.max(most, index - first + 1);
	}

	return most;
}
