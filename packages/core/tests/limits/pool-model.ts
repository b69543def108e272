import * as uniformFloat64 from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as core from '@bluebellmast/core';

const {AdmissionEventType: eventType, AdmissionEffectType: effectType} = core.limits;

/** A source of requests. */
export type Source = {
	readonly name: string;
	readonly account: string;
	/** Index of the router that gets all requests of this source; random routers by default. */
	readonly router?: number;
	readonly share: number;
	readonly requestsPerSecond: number;
	readonly repeatable?: boolean;
	readonly weight?: number;
};

/** Outcomes of the requests of a source. */
export type SourceCount = {
	offered: number;
	/** Requests whose processing began before their deadline. */
	startedInTime: number;
	refused: number;
};

type Job = {
	readonly source: Source;
	readonly router: number;
	readonly request: core.limits.QueuedRequest;
};

/** Options of the model. */
export type PoolModelOptions = {
	readonly seed: number;
	readonly routers: number;
	/** Requests that the pool processes at once. */
	readonly capacity: number;
	/** Whether requests pass admission control; otherwise they are sent to the pool directly. */
	readonly usesAdmission: boolean;
};

const tickMs = 5;
const reportIntervalMs = 100;
const holdMs = 100;
const deadlineMs = 500;

/** Routers in front of one pool, which processes requests in order of arrival, including late ones; load reports are delayed. */
export class PoolModel {
	now = 0;
	counts = new Map<string, SourceCount>();
	longestQueue = 0;
	readonly #options: PoolModelOptions;
	readonly #random;
	readonly #jobs = new Map<string, Job>();
	#admissions: core.limits.PoolAdmission[];
	readonly #waiting: Job[] = [];
	#running: Array<{readonly job: Job; readonly endAt: number}> = [];
	#report = {running: 0, queued: 0};
	#nextId = 0;

	constructor(options: PoolModelOptions) {
		this.#options = options;
		this.#random = xoroshiro.xoroshiro128plus(options.seed);
		const limit = core.limits.createConcurrencyLimit(options.capacity, options.routers);
		this.#admissions = Array.from({length: options.routers}, () => core.limits.createPoolAdmission(limit, {maxQueue: 50}));
	}

	/** Runs the model for a time and returns the outcomes of the offered requests. */
	run(sources: readonly Source[], ms: number): Map<string, SourceCount> {
		this.counts = new Map(sources.map(source => [source.name, {offered: 0, startedInTime: 0, refused: 0}]));
		for (const end = this.now + ms; this.now < end; this.now += tickMs) {
			this.#processRequests();
			for (const source of sources) {
				this.#offer(source);
			}

			if (this.now % reportIntervalMs === 0) {
				this.#reportLoad();
			}
		}

		return this.counts;
	}

	#offer(source: Source): void {
		const expected = source.requestsPerSecond * tickMs / 1000;
		const count = Math.floor(expected + uniformFloat64.uniformFloat64(this.#random));
		for (let index = 0; index < count; index += 1) {
			this.#nextId += 1;
			const router = source.router ?? Math.floor(uniformFloat64.uniformFloat64(this.#random) * this.#options.routers);
			const {account, share, repeatable = true, weight = 1} = source;
			const request = {
				id: `r${this.#nextId}`, account, share, repeatable, weight, priority: weight, deadlineAt: this.now + deadlineMs, arrivedAt: this.now,
			};
			const job = {source, router, request};
			this.counts.get(source.name)!.offered += 1;
			this.#jobs.set(request.id, job);
			if (this.#options.usesAdmission) {
				this.#applyAdmissionEvent(router, {type: eventType.Arrive, request});
			} else {
				this.#waiting.push(job);
			}
		}
	}

	#applyAdmissionEvent(router: number, event: core.limits.AdmissionEvent): void {
		const {state, effects} = core.limits.stepAdmission(this.#admissions[router]!, event, this.now);
		this.#admissions[router] = state;
		this.longestQueue = Math.max(this.longestQueue, state.queue.items.length);
		for (const effect of effects) {
			const job = this.#jobs.get(effect.id)!;
			if (effect.type === effectType.Admit) {
				this.#waiting.push(job);
			} else {
				this.#countOf(job).refused += 1;
			}
		}
	}

	#countOf(job: Job): SourceCount {
		return this.counts.get(job.source.name) ?? {offered: 0, startedInTime: 0, refused: 0};
	}

	#processRequests(): void {
		const ended = this.#running.filter(item => item.endAt <= this.now);
		this.#running = this.#running.filter(item => item.endAt > this.now);
		for (const {job} of ended) {
			this.#applyAdmissionEvent(job.router, {type: eventType.End, id: job.request.id});
		}

		while (this.#running.length < this.#options.capacity && this.#waiting.length > 0) {
			const job = this.#waiting.shift()!;
			this.#running.push({job, endAt: this.now + holdMs});
			this.#countOf(job).startedInTime += this.now < job.request.deadlineAt ? 1 : 0;
			this.#applyAdmissionEvent(job.router, {type: eventType.Begin, id: job.request.id});
		}
	}

	#reportLoad(): void {
		const {capacity, routers} = this.#options;
		for (const router of this.#admissions.keys()) {
			this.#applyAdmissionEvent(router, {
				type: eventType.Load, load: this.#report, capacity, routers,
			});
		}

		this.#report = {running: this.#running.length, queued: this.#waiting.length};
	}
}
