import * as core from '@bluebellmast/core';

/** How the VMs treat an endpoint that asked for a pause. */
export enum PauseHandling {
	/** As any other refusal. */
	None = 'none',
	/** Each VM heeds the pauses that it was asked for itself, and sends all requests at once after them. */
	Abrupt = 'abrupt',
	/** Each VM heeds the pauses that it was asked for itself, with a gradual return. */
	Own = 'own',
	/** Each VM also prefers other endpoints to those that asked other VMs for a pause, as their digests tell. */
	Shared = 'shared',
}

/** Scenario of a simulated fleet. */
export type PausedFleetScenario = {
	readonly handling: PauseHandling;
	readonly vms: number;
	/** Number of endpoints that ask for a pause. */
	readonly paused: number;
	readonly pauseMs: number;
	readonly seed: number;
};

/** What a simulation has counted. */
export type PausedFleetResult = {
	/** Requests that reached endpoints that asked for a pause. */
	readonly arrivalsInPause: number;
	/** The most requests that reached an endpoint from one VM later than half a second after its first response to it with a pause. */
	readonly maxLateArrivals: number;
	/** Refusals that callers received. */
	readonly refusals: number;
	/** Callers that were refused and never served. */
	readonly lostCallers: number;
	readonly callers: number;
	/** Requests that were turned away after the pause by endpoints that had asked for it, since they were full. */
	readonly overflows: number;
	/** Time after the pause until the endpoints that asked for it serve as many requests as before it, in milliseconds. */
	readonly recoveryMs: number;
	/** Largest number of pauses that a VM kept at the end. */
	readonly keptPauses: number;
};

const endpointCount = 20;
const slots = 8;
const queueLength = 8;
const serviceMs = 50;
const networkMs = 1;
const requestsPerSecond = 600;
const warmUpMs = 2000;
const coolDownMs = 6000;
const lateAfterMs = 500;
const digestIntervalMs = 200;
const peersPerDigest = 6;
const maxPausesPerDigest = 4;
const maxAttempts = 4;
const callerDeadlineMs = 8000;
const maxCallerRetries = 3;
const checkIntervalMs = 20;
const maxWaitMs = 1000;
const maxReleasedPerCheck = 2;
const noEndpointRetryAfterMs = 250;
const retryLimits: core.fleet.RetryWindowLimits = {ratio: 0.2, slack: 54, windowMs: 10_000};
/** Window in which the recovered rate is measured, and the share of the rate before the pause that counts as recovered. */
const rateWindowMs = 500;
const recoveredShare = 0.8;

type Endpoint = {
	readonly entry: core.fleet.EndpointIncarnation;
	readonly asksForPause: boolean;
	active: number;
	readonly servedAt: number[];
};

type Vm = {
	readonly pauses: core.fleet.PausedEndpoints;
	readonly retries: core.fleet.RetryWindow;
	readonly ownActive: number[];
	/** Requests of all VMs in flight at the time of the last digests. */
	readonly digestActive: number[];
	/** First response with a pause, and arrivals later than allowed after it, by endpoint. */
	readonly firstAskedAt: number[];
	readonly lateArrivals: number[];
	/** End of the pauses that other VMs told of, by endpoint. */
	readonly hintedUntil: number[];
	/** Requests that wait for capacity. */
	readonly waiting: CallerRequest[];
	digestOffset: number;
	toldCount: number;
};

type CallerRequest = {
	readonly vm: number;
	readonly startedAt: number;
	readonly retriesLeft: number;
	readonly failed: Set<number>;
	attempts: number;
	waitUntil?: number;
};

/** Simulates a fleet before endpoints of which some ask for a pause, in virtual time. */
export class PausedFleet {
	readonly #endpoints: Endpoint[];
	readonly #vms: Vm[];
	readonly #random: () => number;
	/** Work by the millisecond at which it is due. */
	readonly #schedule = new Map<number, Array<() => void>>();
	#now = 0;
	#arrivalsInPause = 0;
	#refusals = 0;
	#lostCallers = 0;
	#callers = 0;
	#overflows = 0;
	#attemptNumber = 0;

	constructor(private readonly scenario: PausedFleetScenario) {
		this.#random = createRandom(scenario.seed);
		this.#endpoints = Array.from({length: endpointCount}, (_, index) => ({
			entry: {id: `e-${index}`, bornAt: 1}, asksForPause: index < scenario.paused, active: 0, servedAt: [],
		}));
		const zeros = (): number[] => Array.from({length: endpointCount}, () => 0);
		this.#vms = Array.from({length: scenario.vms}, () => ({
			pauses: new core.fleet.PausedEndpoints({
				...core.fleet.defaultPauseOptions,
				...(scenario.handling === PauseHandling.Abrupt && {maxRampUpMs: 0}),
			}),
			retries: new core.fleet.RetryWindow(retryLimits),
			ownActive: zeros(),
			digestActive: zeros(),
			firstAskedAt: zeros().map(() => Infinity),
			lateArrivals: zeros(),
			hintedUntil: zeros(),
			waiting: [],
			digestOffset: 0,
			toldCount: 0,
		}));
	}

	get #pauseEndsAt(): number {
		return warmUpMs + this.scenario.pauseMs;
	}

	/** Runs the simulation. */
	run(): PausedFleetResult {
		const endAt = this.#pauseEndsAt + coolDownMs;
		for (; this.#now < endAt; this.#now++) {
			if (this.#now % digestIntervalMs === 0) {
				this.#exchangeDigests();
			}

			if (this.#now % checkIntervalMs === 0) {
				this.#releaseWaiting();
			}

			this.#startCallers();
			const due = this.#schedule.get(this.#now);
			this.#schedule.delete(this.#now);
			for (const work of due ?? []) {
				work();
			}
		}

		return {
			arrivalsInPause: this.#arrivalsInPause,
			maxLateArrivals: Math.max(...this.#vms.flatMap(vm => vm.lateArrivals)),
			refusals: this.#refusals,
			lostCallers: this.#lostCallers,
			callers: this.#callers,
			overflows: this.#overflows,
			recoveryMs: this.#measureRecovery(endAt),
			keptPauses: Math.max(...this.#vms.map(vm => vm.pauses.size)),
		};
	}

	#releaseWaiting(): void {
		for (const vm of this.#vms) {
			const expired = vm.waiting.filter(request => request.waitUntil! <= this.#now);
			const others = vm.waiting.filter(request => request.waitUntil! > this.#now);
			vm.waiting.length = 0;
			vm.waiting.push(...others.slice(maxReleasedPerCheck));
			for (const request of expired) {
				this.#refuse(request, noEndpointRetryAfterMs);
			}

			for (const request of others.slice(0, maxReleasedPerCheck)) {
				this.#dispatch(request);
			}
		}
	}

	#startCallers(): void {
		const expected = requestsPerSecond / 1000;
		const count = Math.floor(expected) + (this.#random() < expected % 1 ? 1 : 0);
		for (let index = 0; index < count; index++) {
			this.#callers += 1;
			this.#startRequest(this.#now, maxCallerRetries);
		}
	}

	#startRequest(startedAt: number, retriesLeft: number): void {
		const vm = Math.floor(this.#random() * this.#vms.length);
		this.#vms[vm]!.retries.countRequest(this.#now);
		this.#dispatch({
			vm, startedAt, retriesLeft, failed: new Set(), attempts: 0,
		});
	}

	#dispatch(request: CallerRequest): void {
		const vm = this.#vms[request.vm]!;
		const usable = this.#listUsable(vm);
		const unlimited = this.#respectsPauses ? usable.filter(index => !vm.pauses.isRampUpLimited(this.#endpoints[index]!.entry, slots / this.#vms.length, this.#now)) : usable;
		if (usable.length === 0) {
			this.#refuse(request, this.#computeRetryAfterMs(vm));
		} else if (unlimited.length === 0) {
			this.#wait(request);
		} else {
			const untried = unlimited.filter(index => !request.failed.has(index));
			const unhinted = untried.filter(index => vm.hintedUntil[index]! <= this.#now);
			const preferred = unhinted.length > 0 ? unhinted : untried;
			this.#send(request, this.#choose(vm, preferred.length > 0 ? preferred : unlimited));
		}
	}

	get #respectsPauses(): boolean {
		return this.scenario.handling !== PauseHandling.None;
	}

	#listUsable(vm: Vm): number[] {
		const all = [...this.#endpoints.keys()];
		return this.#respectsPauses ? all.filter(index => vm.pauses.findRampUp(this.#endpoints[index]!.entry, this.#now) === undefined) : all;
	}

	/** Chooses the endpoint with the fewest known requests in flight, at random among equals. */
	#choose(vm: Vm, candidates: readonly number[]): number {
		let best = candidates[0]!;
		let bestCost = Infinity;
		for (const index of candidates) {
			const cost = vm.ownActive[index]! + vm.digestActive[index]! + (this.#random() / 2);
			if (cost < bestCost) {
				best = index;
				bestCost = cost;
			}
		}

		return best;
	}

	#wait(request: CallerRequest): void {
		request.waitUntil ??= this.#now + maxWaitMs;
		this.#vms[request.vm]!.waiting.push(request);
	}

	#send(request: CallerRequest, index: number): void {
		const vm = this.#vms[request.vm]!;
		const {entry} = this.#endpoints[index]!;
		this.#attemptNumber += 1;
		const attempt = `r-${this.#attemptNumber}`;
		vm.ownActive[index]! += 1;
		vm.pauses.recordSent(entry, attempt);
		request.attempts += 1;
		if (request.attempts > 1) {
			vm.retries.countRetry(this.#now);
		}

		const end = (): void => {
			vm.ownActive[index]! -= 1;
			vm.pauses.recordEnd(entry, attempt);
		};

		this.#after(networkMs, () => {
			this.#arrive(request, index, end);
		});
	}

	#arrive(request: CallerRequest, index: number, end: () => void): void {
		const vm = this.#vms[request.vm]!;
		const endpoint = this.#endpoints[index]!;
		const isPaused = endpoint.asksForPause && this.#now >= warmUpMs && this.#now < this.#pauseEndsAt;
		if (isPaused) {
			const retryAfterMs = this.#pauseEndsAt - this.#now;
			this.#arrivalsInPause += 1;
			vm.lateArrivals[index]! += this.#now > vm.firstAskedAt[index]! + lateAfterMs ? 1 : 0;
			vm.firstAskedAt[index] = Math.min(vm.firstAskedAt[index]!, this.#now);
			this.#after(networkMs, () => {
				end();
				if (this.#respectsPauses) {
					vm.pauses.pause(endpoint.entry, retryAfterMs, this.#random(), this.#now);
				}

				this.#retry(request, index);
			});
		} else if (endpoint.active >= slots + queueLength) {
			this.#overflows += endpoint.asksForPause && this.#now >= this.#pauseEndsAt ? 1 : 0;
			this.#after(networkMs, () => {
				end();
				this.#retry(request, index);
			});
		} else {
			this.#serve(endpoint, end);
		}
	}

	#serve(endpoint: Endpoint, end: () => void): void {
		endpoint.active += 1;
		const waitMs = endpoint.active > slots ? serviceMs : 0;
		this.#after(waitMs + serviceMs, () => {
			endpoint.active -= 1;
			endpoint.servedAt.push(this.#now);
			end();
		});
	}

	#retry(request: CallerRequest, index: number): void {
		request.failed.add(index);
		const {retries} = this.#vms[request.vm]!;
		if (request.attempts < maxAttempts && retries.allowsRetry(this.scenario.vms, this.#now)) {
			this.#dispatch(request);
		} else {
			this.#refuse(request, this.#computeRetryAfterMs(this.#vms[request.vm]!));
		}
	}

	#computeRetryAfterMs(vm: Vm): number {
		const rampUps = this.#endpoints.map(({entry}) => vm.pauses.findRampUp(entry, this.#now)).filter(each => each !== undefined);
		if (rampUps.length < endpointCount) {
			return noEndpointRetryAfterMs;
		}

		const [first] = rampUps.sort((a, b) => a.resumesInMs - b.resumesInMs);
		return core.fleet.computePauseRetryAfterMs(first!, this.#random());
	}

	/** Refuses a request; its caller returns after the stated time, or a third of the time that it has left. */
	#refuse(request: CallerRequest, retryAfterMs: number): void {
		this.#refusals += 1;
		const leftMs = request.startedAt + callerDeadlineMs - this.#now;
		if (request.retriesLeft === 0 || leftMs <= 0) {
			this.#lostCallers += 1;
			return;
		}

		this.#after(Math.min(retryAfterMs, leftMs / 3), () => {
			this.#startRequest(request.startedAt, request.retriesLeft - 1);
		});
	}

	#exchangeDigests(): void {
		const active = this.#endpoints.map((_, index) => {
			let total = 0;
			for (const vm of this.#vms) {
				total += vm.ownActive[index]!;
			}

			return total;
		});
		for (const vm of this.#vms) {
			for (const [index, total] of active.entries()) {
				vm.digestActive[index] = total - vm.ownActive[index]!;
			}

			vm.pauses.removeEnded(() => 1, this.#now);
			if (this.scenario.handling === PauseHandling.Shared) {
				this.#sharePauses(vm);
			}
		}
	}

	#sharePauses(vm: Vm): void {
		const paused = [...this.#endpoints.keys()].filter(index => vm.pauses.isPaused(this.#endpoints[index]!.entry, this.#now));
		const firstTold = paused.length === 0 ? 0 : vm.toldCount % paused.length;
		const known = [...paused.slice(firstTold), ...paused.slice(0, firstTold)].slice(0, maxPausesPerDigest);
		vm.toldCount += known.length;
		const first = this.#vms.indexOf(vm) + 1 + vm.digestOffset;
		vm.digestOffset += peersPerDigest;
		for (let offset = 0; offset < Math.min(peersPerDigest, this.#vms.length - 1); offset++) {
			const peer = this.#vms[(first + offset) % this.#vms.length]!;
			for (const index of peer === vm ? [] : known) {
				peer.hintedUntil[index] = this.#pauseEndsAt;
			}
		}
	}

	#measureRecovery(endAt: number): number {
		const served = this.#endpoints.filter(({asksForPause}) => asksForPause).flatMap(({servedAt}) => servedAt);
		const countServed = (from: number): number => served.filter(at => at >= from && at < from + rateWindowMs).length;
		const before = served.filter(at => at >= warmUpMs / 2 && at < warmUpMs).length * rateWindowMs / (warmUpMs / 2);
		for (let from = this.#pauseEndsAt; from + rateWindowMs <= endAt; from += rateWindowMs / 10) {
			if (countServed(from) >= before * recoveredShare) {
				return from - this.#pauseEndsAt;
			}
		}

		return Infinity;
	}

	#after(ms: number, work: () => void): void {
		const at = this.#now + Math.max(1, Math.round(ms));
		const due = this.#schedule.get(at);
		if (due === undefined) {
			this.#schedule.set(at, [work]);
		} else {
			due.push(work);
		}
	}
}

/** Creates a generator of numbers from 0 (inclusive) to 1 (exclusive). */
function createRandom(seed: number): () => number {
	const random = new core.util.SeededRandom(seed);
	return () => random.int(1_000_000) / 1_000_000;
}
