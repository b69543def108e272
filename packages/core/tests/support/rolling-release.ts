import * as core from '@bluebellmast/core';

/** What the VMs do about the notices of endpoints that they are leaving. */
export enum NoticeUse {
	/** Endpoints get requests as long as they are listed. */
	None = 'none',
	/** Each VM goes by the notices that it received itself. */
	Own = 'own',
	/** VMs also report their notices to each other. */
	Reported = 'reported',
}

/** A release in which the endpoints of a pool are replaced. Times are in milliseconds. */
export type ReleaseOptions = {
	readonly vmCount: number;
	readonly use: NoticeUse;
	readonly seed: number;
	readonly endpointCount: number;
	/** Time between the notices of two endpoints; 0 if all leave at the same time. */
	readonly leaveIntervalMs: number;
	/** Requests per second of all VMs; at most 1000. */
	readonly requestRate: number;
	/** Time for which an endpoint that is leaving may still get requests. */
	readonly drainMs: number;
	/** Time from the first notice until the endpoint stops and is no longer listed. */
	readonly serveMs: number;
	/** Time from the stop of an endpoint until its next incarnation is listed; negative if it is listed before the stop. */
	readonly restartMs: number;
};

/** Numbers of requests of all VMs. */
export type ReleaseResult = {
	readonly requests: number;
	/** Requests at endpoints that are leaving. */
	readonly atLeaving: number;
	/** Those that were sent later than `drainMs` after their VM had received a notice of the endpoint. */
	readonly late: number;
	/** Requests for which there was no endpoint. */
	readonly refused: number;
};

const msPerSecond = 1000;
const responseMs = 60;
const digestIntervalMs = 200;
const firstDigestDelayMs = 5;
const digestDelayMs = 1;
const peersPerDigest = 6;
const maxReported = 8;
const firstLeaveAt = 3000;
const tailMs = 3000;

type CreateEntry = (id: string, changes: Partial<core.fleet.EndpointEntry>) => core.fleet.EndpointEntry;

type Endpoint = {
	readonly entry: core.fleet.EndpointEntry;
	readonly leavesAt: number;
};

/** Events in virtual time, in steps of a millisecond. */
class Schedule {
	now = 0;
	readonly #events = new Map<number, Array<() => void>>();

	/** Adds an event at a later time. */
	add(at: number, event: () => void): void {
		this.#events.set(at, [...this.#events.get(at) ?? [], event]);
	}

	run(endsAt: number, onStep: () => void): void {
		for (; this.now < endsAt; this.now++) {
			const {now} = this;
			for (const event of this.#events.get(now) ?? []) {
				event();
			}

			this.#events.delete(now);
			onStep();
		}
	}
}

/** A VM that chooses at random among the most preferred endpoints. */
class SimulatedVm {
	readonly leaving: core.fleet.LeavingEndpoints;
	/** When this VM received the first notice of an incarnation, whether it goes by it or not. */
	readonly firstNoticeAt = new Map<Endpoint, number>();
	rotationOffset = 0;

	constructor(private readonly options: ReleaseOptions, private readonly random: core.util.SeededRandom) {
		this.leaving = new core.fleet.LeavingEndpoints({drainMs: options.drainMs});
	}

	choose(listed: readonly Endpoint[], now: number): Endpoint | undefined {
		const groups = this.leaving.groupByAvailability(listed.map(({entry}) => entry), now);
		const entries = groups.find(group => group.entries.length > 0)?.entries ?? [];
		const entry = entries.length === 0 ? undefined : entries[this.random.int(entries.length)];
		return listed.find(endpoint => endpoint.entry === entry);
	}

	/** Records a notice. @returns Whether it is the first one that this VM goes by. */
	recordNotice(endpoint: Endpoint, now: number): boolean {
		if (!this.firstNoticeAt.has(endpoint)) {
			this.firstNoticeAt.set(endpoint, now);
		}

		return this.options.use !== NoticeUse.None && this.leaving.recordNotice(endpoint.entry, now);
	}
}

/** A release in progress. */
class ReleaseSimulation {
	readonly result = {
		requests: 0, atLeaving: 0, late: 0, refused: 0,
	};

	readonly #schedule = new Schedule();
	readonly #random: core.util.SeededRandom;
	readonly #vms: readonly SimulatedVm[];
	#listed: Endpoint[] = [];

	constructor(private readonly options: ReleaseOptions, private readonly createEntry: CreateEntry) {
		this.#random = new core.util.SeededRandom(options.seed);
		this.#vms = Array.from({length: options.vmCount}, () => new SimulatedVm(options, this.#random));
	}

	run(): void {
		const {endpointCount, leaveIntervalMs, serveMs, restartMs, requestRate} = this.options;
		for (let index = 0; index < endpointCount; index++) {
			const leavesAt = firstLeaveAt + (index * leaveIntervalMs);
			this.#addEndpoint(`e-${index}`, 0, leavesAt);
			this.#addEndpoint(restartMs < 0 ? `next-${index}` : `e-${index}`, leavesAt + serveMs + restartMs, Infinity);
		}

		this.#schedule.run(firstLeaveAt + (endpointCount * leaveIntervalMs) + serveMs + Math.max(0, restartMs) + tailMs, () => {
			if (this.#random.int(msPerSecond) < requestRate) {
				this.#sendRequest(this.#vms[this.#random.int(this.#vms.length)]!);
			}

			for (const vm of this.#schedule.now % digestIntervalMs === 0 ? this.#vms : []) {
				vm.leaving.retain(this.#listed.map(({entry}) => entry), this.#schedule.now);
				this.#sendDigest(vm);
			}
		});
	}

	#addEndpoint(id: string, bornAt: number, leavesAt: number): void {
		const endpoint: Endpoint = {entry: this.createEntry(id, {bornAt}), leavesAt};
		this.#schedule.add(bornAt, () => {
			this.#listed.push(endpoint);
		});
		this.#schedule.add(leavesAt + this.options.serveMs, () => {
			this.#listed = this.#listed.filter(each => each !== endpoint);
		});
	}

	#sendRequest(vm: SimulatedVm): void {
		const {now} = this.#schedule;
		this.result.requests += 1;
		const endpoint = vm.choose(this.#listed, now);
		if (endpoint === undefined) {
			this.result.refused += 1;
			return;
		}

		this.result.atLeaving += now >= endpoint.leavesAt ? 1 : 0;
		this.result.late += now > (vm.firstNoticeAt.get(endpoint) ?? Infinity) + this.options.drainMs ? 1 : 0;
		this.#schedule.add(now + responseMs, () => {
			this.#receiveResponse(vm, endpoint);
		});
	}

	#receiveResponse(vm: SimulatedVm, endpoint: Endpoint): void {
		const {now} = this.#schedule;
		if (now >= endpoint.leavesAt && vm.recordNotice(endpoint, now)) {
			this.#schedule.add(now + firstDigestDelayMs, () => {
				this.#sendDigest(vm);
			});
		}
	}

	#sendDigest(vm: SimulatedVm): void {
		const noticed = vm.leaving.listNoticed(maxReported);
		if (noticed.length === 0 || this.options.use !== NoticeUse.Reported) {
			return;
		}

		const others = this.#vms.filter(each => each !== vm);
		for (let count = 0; count < Math.min(peersPerDigest, others.length); count++) {
			const other = others[vm.rotationOffset % others.length]!;
			vm.rotationOffset += 1;
			this.#schedule.add(this.#schedule.now + digestDelayMs, () => {
				for (const endpoint of noticed) {
					other.leaving.recordReport(endpoint, this.#schedule.now);
				}
			});
		}
	}
}

/** Simulates a release. The endpoints announce only in their responses that they are leaving. */
export function simulateRelease(options: ReleaseOptions, createEntry: CreateEntry): ReleaseResult {
	const simulation = new ReleaseSimulation(options, createEntry);
	simulation.run();
	return simulation.result;
}
