import * as core from '@bluebellmast/core';
import type * as virtualTime from './virtual-time.js';
import * as gateway from '@bluebellmast/gateway';

/** What disturbs a fleet, and how many machines it has. */
export type CrashScenario = {
	readonly vmCount: number;
	readonly endpointCount: number;
	/** Requests with the crashing part, and sound ones, a second. */
	readonly crashingPerSecond: number;
	readonly soundPerSecond: number;
	/** Whether the prompts of all requests with the crashing part are equal, as of callers who ask the same; else no two are alike. */
	readonly areCrashingEqual: boolean;
	/** Share of the endpoints that end by themselves at once, at half of the time. */
	readonly killedShare: number;
	/** Time after which as many other endpoints end by themselves, in milliseconds; 0 for none. */
	readonly killedAgainAfterMs: number;
	/** Share of the datagrams between VMs that are lost, of 100. */
	readonly lossPercent: number;
	/** Whether VMs collect evidence and quarantine parts. */
	readonly isQuarantined: boolean;
	readonly seed: number;
};

/** What clients and endpoints saw. */
export type CrashOutcome = {
	/** Times at which endpoints ended by the crashing part, in milliseconds. */
	readonly ends: number[];
	/** Times at which requests with the crashing part were sent to endpoints. */
	readonly crashingSends: number[];
	sound: number;
	/** Times at which sound requests were refused because of a part. */
	readonly soundRefusals: number[];
	/** Bytes of evidence that the VMs sent, and datagrams with evidence. */
	evidenceBytes: number;
	evidenceDatagrams: number;
	/** Time at which the last VM refused the crashing part. */
	lastVmRefusesAt: number;
};

type Endpoint = {
	incarnation: core.fleet.EndpointIncarnation;
	isDown: boolean;
	inProgress: Set<InProgress>;
};

type InProgress = {
	readonly vm: Vm;
	readonly keys: core.quarantine.PromptKeys;
	hasBegun: boolean;
	readonly retry: () => void;
};

type Vm = {
	readonly name: string;
	readonly quarantine: gateway.controllers.QuarantineController;
	/** Number of recipients of the digests so far, from which the next turn starts. */
	offset: number;
	isScheduled: boolean;
};

const latencyMs = 2;
const collectionMs = 20;
const digestDelayMs = 5;
const digestIntervalMs = 200;
const peersPerDigest = 6;
const peersPerUrgentDigest = 12;
const beginMs = 30;
const crashMs = 80;
const shortAnswerMs = 60;
const answerMs = 300;
const outlivedMs = 500;
const restartMs = 3000;
const attempts = 2;
const firstPartCount = 40;
const subjectCount = 700;

/** Model of VMs and endpoints in virtual time: the evidence that VMs exchange, and requests of which some end their endpoints. */
export class SimulatedCrashes {
	readonly outcome: CrashOutcome = {
		ends: [], crashingSends: [], sound: 0, soundRefusals: [], evidenceBytes: 0, evidenceDatagrams: 0, lastVmRefusesAt: -Infinity,
	};

	readonly #random: core.util.SeededRandom;
	readonly #vms: Vm[];
	readonly #endpoints: Endpoint[];
	/** When incarnations ended. */
	readonly #endedAt = new WeakMap<core.fleet.EndpointIncarnation, number>();
	#requestCount = 0;

	constructor(private readonly scenario: CrashScenario, private readonly time: virtualTime.VirtualTime) {
		this.#random = new core.util.SeededRandom(scenario.seed);
		this.#endpoints = Array.from({length: scenario.endpointCount}, (_, index) => ({
			incarnation: {id: `e-${index}`, bornAt: 0}, isDown: false, inProgress: new Set<InProgress>(),
		}));
		this.#vms = Array.from({length: scenario.vmCount}, (_, index) => this.#createVm(index));
		for (const vm of this.#vms) {
			this.#repeat(digestIntervalMs, () => {
				vm.quarantine.tick();
				this.#sendDigest(vm);
			});
		}
	}

	/** Returns the number of VMs that refuse requests with the crashing part. */
	countRefusingVms(): number {
		return this.#vms.filter(vm => vm.quarantine.match(['m/f0', 'm/bad']) !== undefined).length;
	}

	/** Lists the parts that VMs hold to end endpoints although they don't. */
	listWrongParts(): string[] {
		return [...new Set(this.#vms.flatMap(vm => crashingSuspects(vm)))];
	}

	/** Starts the traffic; the crashing part comes after a second, in which sound parts are met. */
	start(durationMs: number): void {
		const {crashingPerSecond, soundPerSecond, killedShare, killedAgainAfterMs} = this.scenario;
		for (let at = 0; at < durationMs; at += 1000 / soundPerSecond) {
			this.time.schedule(at, () => {
				this.#arrive([`f${this.#random.int(firstPartCount)}`, `s${this.#random.int(subjectCount)}`], false);
			});
		}

		for (let at = crashingPerSecond > 0 ? 1000 : durationMs; at < durationMs; at += 1000 / crashingPerSecond) {
			this.time.schedule(at, () => {
				this.#arrive(this.scenario.areCrashingEqual ? ['bad'] : [`f${this.#random.int(firstPartCount)}`, 'bad'], true);
			});
		}

		if (killedShare > 0) {
			this.time.schedule(durationMs / 2, () => {
				for (const endpoint of this.#endpoints.slice(0, Math.ceil(killedShare * this.#endpoints.length))) {
					this.#end(endpoint);
				}
			});
		}

		if (killedAgainAfterMs > 0) {
			this.time.schedule((durationMs / 2) + killedAgainAfterMs, () => {
				for (const endpoint of this.#endpoints.slice(-Math.ceil(killedShare * this.#endpoints.length))) {
					this.#end(endpoint);
				}
			});
		}
	}

	#createVm(index: number): Vm {
		const vm: Vm = {
			name: `vm-${index}`,
			quarantine: new gateway.controllers.QuarantineController({
				clock: {suspendAwareNow: () => this.time.now},
				log: {write: () => undefined},
				onPendingEvidence: () => {
					this.#scheduleDigest(vm);
				},
				onQuarantined: () => {
					if (vm.quarantine.match(['m/f0', 'm/bad']) !== undefined) {
						this.outcome.lastVmRefusesAt = this.time.now;
					}
				},
			}),
			offset: index,
			isScheduled: false,
		};
		return vm;
	}

	#scheduleDigest(vm: Vm): void {
		if (!vm.isScheduled) {
			vm.isScheduled = true;
			this.time.schedule(digestDelayMs, () => {
				vm.isScheduled = false;
				this.#sendDigest(vm);
			});
		}
	}

	#sendDigest(vm: Vm): void {
		const isUrgent = vm.quarantine.hasPendingEvidence;
		const quarantine = vm.quarantine.takeDigest();
		if (quarantine === undefined) {
			return;
		}

		const message = gateway.peers.encodeDigest({
			vm: vm.name, sequence: 1, endpoints: [], cacheObservations: [], quarantine,
		});
		const others = this.#vms.filter(other => other !== vm);
		const count = Math.min(others.length, isUrgent ? peersPerUrgentDigest : peersPerDigest);
		for (let index = 0; index < count; index++) {
			const peer = others[(vm.offset + index) % others.length]!;
			this.outcome.evidenceDatagrams += 1;
			this.outcome.evidenceBytes += message.length;
			if (this.#random.int(100) >= this.scenario.lossPercent) {
				this.time.schedule(latencyMs, () => {
					peer.quarantine.applyDigest(gateway.peers.decodeDigest(message)!.quarantine!);
				});
			}
		}

		vm.offset += count;
		if (vm.quarantine.hasPendingEvidence) {
			this.#scheduleDigest(vm);
		}
	}

	#arrive(parts: readonly string[], isCrashing: boolean): void {
		this.#requestCount += 1;
		const vm = this.#vms[this.#random.int(this.#vms.length)]!;
		const lastPart = isCrashing && this.scenario.areCrashingEqual ? 'question' : `own-${this.#requestCount}`;
		const keys = core.quarantine.createPromptKeys('m', [...parts, lastPart], `r-${this.#requestCount}`);
		this.outcome.sound += isCrashing ? 0 : 1;
		this.#send(vm, keys, isCrashing, attempts);
	}

	#send(vm: Vm, keys: core.quarantine.PromptKeys, isCrashing: boolean, attemptsLeft: number): void {
		if (this.scenario.isQuarantined && vm.quarantine.match(keys.sharedParts) !== undefined) {
			if (!isCrashing) {
				this.outcome.soundRefusals.push(this.time.now);
			}

			return;
		}

		const up = this.#endpoints.filter(endpoint => !endpoint.isDown);
		const endpoint = up[this.#random.int(Math.max(1, up.length))];
		if (endpoint === undefined || attemptsLeft === 0) {
			return;
		}

		if (isCrashing) {
			this.outcome.crashingSends.push(this.time.now);
		}

		const request: InProgress = {
			vm, keys, hasBegun: false, retry: () => {
				this.#send(vm, keys, isCrashing, attemptsLeft - 1);
			},
		};
		const sentAt = this.time.now;
		const isShort = this.#random.int(2) === 0;
		const {incarnation} = endpoint;
		endpoint.inProgress.add(request);
		this.time.schedule(beginMs, () => {
			request.hasBegun = endpoint.inProgress.has(request);
			if (request.hasBegun) {
				this.#observe(vm, quarantine => {
					quarantine.recordAlive(incarnation, sentAt);
				});
			}
		});
		this.time.schedule(beginMs + (isCrashing ? crashMs : answerMs), () => {
			if (!endpoint.inProgress.has(request)) {
				return;
			}

			if (isCrashing) {
				this.outcome.ends.push(this.time.now);
				this.#end(endpoint);
			} else {
				this.#complete(endpoint, request);
			}
		});
		if (isCrashing && isShort) {
			this.time.schedule(beginMs + shortAnswerMs, () => {
				if (endpoint.inProgress.has(request)) {
					this.#complete(endpoint, request);
					this.time.schedule(crashMs - shortAnswerMs, () => {
						if (endpoint.incarnation === incarnation) {
							this.outcome.ends.push(this.time.now);
							this.#end(endpoint);
						}
					});
				}
			});
		}
	}

	#complete(endpoint: Endpoint, request: InProgress): void {
		const {vm, keys} = request;
		const {incarnation} = endpoint;
		const completedAt = this.time.now;
		endpoint.inProgress.delete(request);
		this.time.schedule(outlivedMs, () => {
			if (endpoint.incarnation === incarnation && !endpoint.isDown) {
				this.#observe(vm, quarantine => {
					quarantine.recordCompletion(keys.sharedParts, completedAt);
				});
			} else {
				this.#observe(vm, quarantine => {
					// The connection was closed when the endpoint ended.
					const at = this.#endedAt.get(incarnation)! + latencyMs;
					quarantine.recordInterruption({endpoint: incarnation, at, requests: [{...keys, hasBegun: true}]});
				});
			}
		});
	}

	/** Has a VM collect evidence, unless the scenario is without the quarantine. */
	#observe(vm: Vm, record: (quarantine: gateway.controllers.QuarantineController) => void): void {
		if (this.scenario.isQuarantined) {
			record(vm.quarantine);
		}
	}

	#end(endpoint: Endpoint): void {
		if (endpoint.isDown) {
			return;
		}

		const {incarnation} = endpoint;
		const interrupted = [...endpoint.inProgress];
		endpoint.inProgress = new Set();
		endpoint.isDown = true;
		this.#endedAt.set(incarnation, this.time.now);
		this.time.schedule(restartMs, () => {
			endpoint.incarnation = {id: incarnation.id, bornAt: this.time.now};
			endpoint.isDown = false;
		});
		for (const vm of new Set(interrupted.map(request => request.vm))) {
			const requests = interrupted.filter(request => request.vm === vm).map(({keys, hasBegun}) => ({...keys, hasBegun}));
			const at = this.time.now + latencyMs;
			this.time.schedule(latencyMs + collectionMs, () => {
				this.#observe(vm, quarantine => {
					quarantine.recordInterruption({endpoint: incarnation, at, requests});
				});
			});
		}

		for (const request of interrupted) {
			this.time.schedule(latencyMs, () => {
				request.retry();
			});
		}
	}

	#repeat(intervalMs: number, run: () => void): void {
		this.time.schedule(this.#random.int(intervalMs), () => {
			const tick = (): void => {
				run();
				this.time.schedule(intervalMs, tick);
			};

			tick();
		});
	}
}

/** Lists parts other than the crashing one because of which a VM would refuse requests that have only these. */
function crashingSuspects(vm: Vm): string[] {
	const parts = [
		...Array.from({length: firstPartCount}, (_, index) => `m/f${index}`),
		...Array.from({length: subjectCount}, (_, index) => `m/s${index}`),
	];
	return parts.filter(part => vm.quarantine.match([part]) !== undefined);
}
