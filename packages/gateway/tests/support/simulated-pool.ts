import * as core from '@bluebellmast/core';
import * as poolResult from './pool-result.js';
import * as virtualTime from './virtual-time.js';
import * as gateway from '@bluebellmast/gateway';

const model = 'm';
const pool = 'llm';
const slots = 8;
/** Requests that an endpoint accepts at a time; those beyond its slots wait there. */
const maxActive = 32;
const promptTokens = 400;
const prefillTokensPerMs = 45;
const decodeMs = 400;
const linkMs = 1;
const tickMs = 100;
const digestTickMs = 200;
const digestRecipients = 6;
const checkTimeoutMs = 500;
const targetLatencyMs = 500;
const maxAttempts = 2;
/** Time from its arrival until a refused request counts as refused late, in milliseconds. */
const lateRefusalMs = 50;
/** Length of the periods in which arrivals at endpoints are counted, in milliseconds. */
const arrivalPeriodMs = 20;

/** Size and load of a simulated pool. */
export type PoolScenario = {
	readonly vmCount: number;
	readonly endpointCount: number;
	/** Requests of new callers per second. */
	readonly requestsPerSecond: number;
	readonly deadlineMs: number;
	/** Whether the endpoints are engines; otherwise they are runners of a plain service. */
	readonly hasEngines: boolean;
	readonly seed: number;
	readonly createRules: () => core.fleet.WaitRules;
};

type Caller = {
	readonly id: number;
	readonly deadlineAt: number;
	readonly arrivedAt: number;
	readonly priority: number;
};

class SimulatedEndpoint {
	silentUntil = -Infinity;
	active = 0;
	#prefillEndsAt = 0;

	constructor(readonly id: string, private readonly simulation: SimulatedPool) {}

	get isSilent(): boolean {
		return this.simulation.time.now < this.silentUntil;
	}

	/** Executes a request. @returns Whether it was not turned away. */
	async execute(tokens: number, onFirstToken: () => void): Promise<boolean> {
		await this.#waitWhileSilent();
		if (this.active >= maxActive) {
			return false;
		}

		this.active += 1;
		const {time} = this.simulation;
		this.#prefillEndsAt = Math.max(this.#prefillEndsAt, time.now) + (tokens / prefillTokensPerMs);
		await this.simulation.sleep(this.#prefillEndsAt - time.now);
		await this.#waitWhileSilent();
		onFirstToken();
		await this.simulation.sleep(decodeMs);
		await this.#waitWhileSilent();
		this.active -= 1;
		return true;
	}

	async #waitWhileSilent(): Promise<void> {
		while (this.isSilent) {
			await this.simulation.sleep(this.silentUntil - this.simulation.time.now); // eslint-disable-line no-await-in-loop -- The silence may be extended.
		}
	}
}

class SimulatedPoolVm {
	readonly fleet = new gateway.placement.FleetState();
	readonly queue: gateway.call.RequestQueue;
	readonly #finderDependencies: gateway.call.FinderDependencies;
	#sequence = 0;
	#turn = 0;
	#attemptCount = 0;

	constructor(readonly name: string, private readonly simulation: SimulatedPool) {
		const {time, random, scenario, result} = simulation;
		const {fleet} = this;
		const clock: gateway.util.Clocks = {monotonicNow: () => time.now, suspendAwareNow: () => time.now, wallNow: () => time.now};
		const draw = (): number => random.int(1000) / 1000;
		const log: gateway.util.EventLog = {
			write(event, fields) {
				if (event === core.log.LogEvent.RequestWaited) {
					const {cause, expectedWaitMs, waitedMs} = fields as {cause: string; expectedWaitMs: number; waitedMs: number};
					const errors = result.waitErrors.get(cause) ?? [];
					errors.push(waitedMs - expectedWaitMs);
					result.waitErrors.set(cause, errors);
				}
			},
		};
		const pauses = new gateway.placement.EndpointPauses({clock, log, random: draw});
		fleet.vmCount = scenario.vmCount;
		this.queue = new gateway.call.RequestQueue(() => time.now, (run, ms) => {
			time.schedule(ms, run);
		});
		const waitRules = scenario.createRules();
		this.#finderDependencies = {
			clock,
			log,
			fleet,
			queue: this.queue,
			waitRules,
			random: draw,
			failedSearches: new gateway.call.FailedSearches(),
			gaps: new core.fleet.PoolGaps(waitRules, draw),
			placer: new gateway.placement.EndpointPlacer(fleet, pauses, {
				dataCentre: 'a', maxOutdatedWeightsMs: 8000, costs: core.fleet.defaultPlacementCosts, admission: core.fleet.defaultAdmissionLimits,
			}),
		};
	}

	/** Serves a request. @returns The time after which its caller retries, in milliseconds; `undefined` if it was served. */
	async serve({id, priority, arrivedAt, deadlineAt}: Caller): Promise<number | undefined> {
		const {time, scenario, result} = this.simulation;
		const receivedAt = time.now;
		const request = {
			arrivedAt: receivedAt,
			table: {
				findPool: () => ({name: pool, engine: scenario.hasEngines ? {models: [model]} : undefined}), config: {version: 1, cacheStores: []},
			},
			route: {timeoutMs: scenario.deadlineMs, targetLatencyMs, priority},
			head: {
				requestId: `r-${id}`,
				deadlineMs: deadlineAt - receivedAt,
				prompt: scenario.hasEngines ? {model, parts: [{id: `own-${id}`, tokens: promptTokens}]} : undefined,
			},
		} as unknown as gateway.call.RoutedRequest;
		const finder = new gateway.call.EndpointFinder(request, this.#finderDependencies, deadlineAt, pool);
		for (let attemptCount = 0; ; attemptCount++) {
			if (time.now >= deadlineAt) {
				return Infinity;
			}

			if (attemptCount === maxAttempts) {
				result.exhausted += 1;
				return finder.computeRetryAfterMs();
			}

			const search = finder.find(false);
			result.maxQueued = Math.max(result.maxQueued, this.queue.size);
			const found = await search; // eslint-disable-line no-await-in-loop -- Attempts follow one another.
			if (found.placement === undefined) {
				this.#countRefusal(receivedAt);
				return found.retryAfterMs;
			}

			const placement = finder.confirm(found);
			if (placement === undefined) {
				continue;
			}

			const isDone = await this.#execute(placement, arrivedAt, deadlineAt); // eslint-disable-line no-await-in-loop -- Attempts follow one another.
			if (isDone) {
				return undefined;
			}

			result.turnedAway += 1;
			finder.recordFailure(placement.entry.id);
		}
	}

	tick(): void {
		const {time} = this.simulation;
		const {health, peers} = this.fleet;
		for (const endpoint of health.startDueChecks(id => peers.lastReceivedAt(id), time.now)) {
			void this.#check(endpoint);
		}
	}

	sendDigest(vms: readonly SimulatedPoolVm[]): void {
		const {fleet: {loads, health}, simulation: {time}} = this;
		const busy = loads.listBusyEndpoints();
		this.#sequence += 1;
		const digest: core.fleet.LoadDigest = {
			vm: this.name,
			sequence: this.#sequence,
			endpoints: busy.map(endpoint => ({
				endpoint, active: loads.countOwnActive(endpoint), prefillTokens: loads.countPrefillTokens(endpoint),
				sinceLastReceivedMs: time.now - health.lastReceivedAt(endpoint),
			})),
			cacheObservations: [],
		};
		for (let count = 0; count < Math.min(digestRecipients, vms.length - 1); count++) {
			this.#turn += 1;
			const other = vms[this.#turn % vms.length]!;
			if (other !== this) {
				other.fleet.peers.applyDigest(digest, time.now);
			}
		}
	}

	async #execute(placement: gateway.placement.Placement, arrivedAt: number, deadlineAt: number): Promise<boolean> {
		const {simulation: {time, result}, simulation, fleet: {health, loads}} = this;
		const {id} = placement.entry;
		this.#attemptCount += 1;
		const attempt = `${this.name}-${this.#attemptCount}`;
		const tokens = placement.choice.prefillTokens;
		loads.addRequest(id, attempt, tokens);
		health.recordSent(id, attempt, placement.choice.firstTokenMs, time.now);
		await simulation.sleep(linkMs);
		simulation.countArrival();
		const isExecuted = await simulation.endpoints.get(id)!.execute(tokens, () => {
			health.recordReceived(id, attempt, time.now);
			loads.endPrefill(id, attempt);
			if (time.now <= deadlineAt) {
				result.served += 1;
				result.firstTokenMs.push(time.now - arrivedAt);
			} else {
				result.lost += 1;
			}
		});
		health.recordReceived(id, attempt, time.now);
		health.recordEnd(id, attempt);
		loads.removeRequest(id, attempt);
		return isExecuted;
	}

	async #check(endpoint: string): Promise<void> {
		const {time, endpoints} = this.simulation;
		const startedAt = time.now;
		await this.simulation.sleep(2 * linkMs);
		while (endpoints.get(endpoint)!.isSilent && time.now - startedAt < checkTimeoutMs) {
			await this.simulation.sleep(tickMs / 2); // eslint-disable-line no-await-in-loop -- A poll.
		}

		this.fleet.health.recordCheck(endpoint, !endpoints.get(endpoint)!.isSilent, time.now);
	}

	#countRefusal(receivedAt: number): void {
		const {time, result} = this.simulation;
		const waitedMs = time.now - receivedAt;
		if (waitedMs < lateRefusalMs) {
			result.earlyRefusals += 1;
		} else {
			result.lateRefusals += 1;
			result.lateRefusalMs += waitedMs;
		}
	}
}

/** VMs that place the requests of callers at the endpoints of one pool, in virtual time; callers that were refused retry at other VMs. */
export class SimulatedPool {
	readonly time = new virtualTime.VirtualTime();
	readonly random: core.util.SeededRandom;
	readonly endpoints = new Map<string, SimulatedEndpoint>();
	readonly vms: SimulatedPoolVm[];
	readonly result = poolResult.createPoolResult();
	#arrivalPeriod = 0;
	#arrivals = 0;
	#bornCount = 0;

	constructor(readonly scenario: PoolScenario) {
		this.random = new core.util.SeededRandom(scenario.seed);
		this.vms = Array.from({length: scenario.vmCount}, (_, index) => new SimulatedPoolVm(`vm-${index}`, this));
		this.replaceEndpoints();
		this.#repeat(tickMs, () => {
			for (const vm of this.vms) {
				vm.tick();
			}
		});
		this.#repeat(digestTickMs, () => {
			for (const vm of this.vms) {
				vm.sendDigest(this.vms);
			}
		});
	}

	/** Has callers send requests up to a time; runs until all of them have ended. */
	async run(endsAt: number): Promise<poolResult.PoolResult> {
		const {requestsPerSecond, deadlineMs} = this.scenario;
		const count = Math.floor(endsAt / 1000 * requestsPerSecond);
		for (let id = 0; id < count; id++) {
			this.time.schedule(this.random.int(endsAt), () => {
				this.result.requests += 1;
				const {now} = this.time;
				void this.#call({
					id, arrivedAt: now, deadlineAt: now + deadlineMs, priority: id % 3,
				});
			});
		}

		await this.time.runUntil(endsAt + (2 * deadlineMs));
		return this.result;
	}

	/** All endpoints send nothing for a time. */
	fallSilent(ms: number): void {
		for (const endpoint of this.endpoints.values()) {
			endpoint.silentUntil = this.time.now + ms;
		}
	}

	/** All endpoints leave; those in progress are completed. */
	removeEndpoints(): void {
		for (const vm of this.vms) {
			for (const id of this.endpoints.keys()) {
				vm.fleet.registry.remove(id, false, this.time.now);
			}
		}
	}

	/** Registers new endpoints; each VM lists them in another order, so that VMs that know of no load do not all choose the same one. */
	replaceEndpoints(): void {
		const ids = Array.from({length: this.scenario.endpointCount}, () => {
			this.#bornCount += 1;
			return `e-${this.#bornCount}`;
		});
		for (const id of ids) {
			this.endpoints.set(id, new SimulatedEndpoint(id, this));
		}

		for (const vm of this.vms) {
			for (const id of this.random.shuffle(ids)) {
				this.#register(vm, id, true);
			}
		}
	}

	/** All endpoints load new weights for a time. */
	loadWeights(ms: number): void {
		this.#registerAll(false);
		this.time.schedule(ms, () => {
			this.#registerAll(true);
		});
	}

	async sleep(ms: number): Promise<void> {
		return new Promise(resolve => {
			this.time.schedule(ms, resolve);
		});
	}

	countArrival(): void {
		const period = Math.floor(this.time.now / arrivalPeriodMs);
		this.#arrivals = period === this.#arrivalPeriod ? this.#arrivals + 1 : 1;
		this.#arrivalPeriod = period;
		this.result.maxArrivals = Math.max(this.result.maxArrivals, this.#arrivals);
	}

	#registerAll(hasWeights: boolean): void {
		for (const vm of this.vms) {
			for (const id of this.endpoints.keys()) {
				this.#register(vm, id, hasWeights);
			}
		}
	}

	#register(vm: SimulatedPoolVm, id: string, hasWeights: boolean): void {
		vm.fleet.registry.put({
			id, bornAt: 1, pool, address: id, dataCentre: 'a', slots, state: core.fleet.EndpointState.Ready, weights: new Map(hasWeights ? [[model, 1]] : []),
		}, this.time.now);
	}

	async #call(caller: Caller): Promise<void> {
		for (;;) {
			const vm = this.vms[this.random.int(this.vms.length)]!;
			const retryAfterMs = await vm.serve(caller); // eslint-disable-line no-await-in-loop -- Attempts of one caller.
			if (retryAfterMs === undefined) {
				return;
			}

			if (this.time.now + retryAfterMs >= caller.deadlineAt) {
				this.result.lost += 1;
				return;
			}

			await this.sleep(retryAfterMs); // eslint-disable-line no-await-in-loop -- Attempts of one caller.
		}
	}

	#repeat(ms: number, run: () => void): void {
		this.time.schedule(ms, () => {
			run();
			this.#repeat(ms, run);
		});
	}
}
