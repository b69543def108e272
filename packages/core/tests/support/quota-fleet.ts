import * as core from '@bluebellmast/core';

/** An account and what its callers ask. */
export type SimulatedAccount = {
	readonly name: string;
	readonly unitsPerSecond: number;
	readonly burst: number;
	/** Requests a second over all VMs. */
	readonly requestsPerSecond: number;
	/** Units of each request, in turn. */
	readonly units: readonly number[];
};

/** Something that happens to VMs or to their messages between two times, in milliseconds. */
export type QuotaFault = {
	readonly from: number;
	readonly until: number;
	/** VMs by their index; the one that keeps the first account if absent. */
	readonly vms?: readonly number[];
	/**
	 * `cut`: the VMs and the others don't reach each other. `suspended`: the processes stand still; they and their messages go on afterwards. `dead`: the processes end, and new
	 * ones start at the end of the time, if that comes. `shutdown`: the processes shut down, and end at the end of the time. `lost`: a share of all messages is lost.
	 */
	readonly kind: 'cut' | 'suspended' | 'dead' | 'shutdown' | 'lost';
	readonly share?: number;
};

/** A fleet in virtual time. */
export type QuotaFleetScenario = {
	readonly vms: number;
	readonly accounts: readonly SimulatedAccount[];
	readonly bounds: core.quota.QuotaBounds;
	readonly lengthMs: number;
	readonly seed: number;
	readonly faults?: readonly QuotaFault[];
	/** Longest delay of a message, in milliseconds. */
	readonly maxDelayMs?: number;
	/** Whether grants are used as late as they may be, in place of at once. */
	readonly usesLate?: boolean;
	/** VMs that only some of the others list, from the start. */
	readonly unlisted?: (viewer: number, vm: number) => boolean;
};

/** What an account asked and got. */
export type AccountResult = {
	/** Largest number of units sent in a window, relative to what is allowed. */
	readonly maxInWindow: number;
	/** Of the units that a single bucket without any delay admits, the part that was admitted. */
	admittedShare(from: number, until?: number): number;
	/** All units that were admitted, relative to those that such a bucket admits. */
	usedShare(from: number, until?: number): number;
	/** Requests admitted, relative to those that were asked. */
	servedShare(from: number, until?: number): number;
};

type Vm = {
	agent: core.quota.QuotaAgent;
	readonly name: string;
	incarnation: number;
	/** Requests by their asks. */
	readonly pending: Map<number, Request>;
};

type Request = {
	readonly at: number;
	readonly account: SimulatedAccount;
	readonly units: number;
	isAdmitted?: boolean;
	retryAfterMs?: number;
};

type Event = {readonly at: number; readonly order: number; readonly run: () => void};

/** Time before the first request, in milliseconds. */
export const warmUpMs = 4000;
const tickMs = 50;
const randomSteps = 2 ** 30;

/** Simulates VMs with quotas, their messages, and what happens to both. */
export class QuotaFleet {
	/** Messages that VMs sent. */
	messages = 0;
	readonly #events: Event[] = [];
	#order = 0;
	#now = 0;
	readonly #random: () => number;
	readonly #vms: Vm[] = [];
	readonly #requests: Request[] = [];
	readonly #sends: Array<{readonly at: number; readonly account: SimulatedAccount; readonly units: number}> = [];
	readonly #faults: ReadonlyArray<QuotaFault & {readonly vms: readonly number[]}>;

	constructor(private readonly scenario: QuotaFleetScenario) {
		const random = new core.util.SeededRandom(scenario.seed);
		this.#random = () => random.int(randomSteps) / randomSteps;
		const names = Array.from({length: scenario.vms}, (_, index) => `vm-${index}`);
		const keeper = names.indexOf(core.quota.rankKeepers(names).get(core.quota.getPartition(scenario.accounts[0]!.name, names.length))![0]!);
		this.#faults = (scenario.faults ?? []).map(fault => ({...fault, vms: fault.vms ?? [keeper]}));
		for (const name of names) {
			this.#vms.push({
				name, incarnation: 0, pending: new Map(), agent: this.#createAgent(name, 0),
			});
		}
	}

	/** Retry-After of the refused requests of an account, in milliseconds, with the times of the refusals. */
	listRefusals(name: string): Array<{readonly at: number; readonly retryAfterMs: number}> {
		return this.#requests.filter(({account, isAdmitted}) => account.name === name && isAdmitted === false).map(({at, retryAfterMs}) => ({at, retryAfterMs: retryAfterMs!}));
	}

	/** Plays the scenario. */
	run(): ReadonlyMap<string, AccountResult> {
		for (const [index, vm] of this.#vms.entries()) {
			this.#schedule(index % tickMs, () => {
				this.#tick(index, vm);
			});
		}

		for (const fault of this.#faults) {
			this.#scheduleFault(fault);
		}

		for (const account of this.scenario.accounts) {
			this.#scheduleRequests(account);
		}

		while (this.#events.length > 0 && this.#events[0]!.at <= this.scenario.lengthMs) {
			const event = this.#pop();
			this.#now = event.at;
			event.run();
		}

		return new Map(this.scenario.accounts.map(account => [account.name, this.#createResult(account)]));
	}

	#createAgent(name: string, incarnation: number): core.quota.QuotaAgent {
		const {accounts, bounds, vms, unlisted} = this.scenario;
		const agent = new core.quota.QuotaAgent({
			vm: name,
			incarnation: `${name}/${incarnation}`,
			startedAt: this.#now,
			bounds,
			findQuota(account) {
				const found = accounts.find(item => item.name === account);
				return found && {...found, unit: core.quota.QuotaUnit.Tokens, defaultTokens: 1};
			},
			admitsUnknown: () => false,
		});
		const viewer = Number(name.slice(3));
		const names = Array.from({length: vms}, (_, index) => index).filter(index => !unlisted?.(viewer, index)).map(index => `vm-${index}`);
		if (incarnation === 0) {
			// The others don't list a new VM yet when it reads their list.
			agent.setVms(names.filter(other => other !== name), this.#now);
		}

		agent.setVms(names, this.#now);
		agent.setAccounts(accounts.map(account => account.name));
		return agent;
	}

	#tick(index: number, vm: Vm): void {
		this.#schedule(this.#now + tickMs, () => {
			this.#tick(index, vm);
		});
		if (!this.#is(index, 'suspended') && !this.#isDead(index)) {
			this.#decide(vm, vm.agent.tick(this.#now));
			this.#flush(index, vm);
		}
	}

	#scheduleFault(fault: QuotaFault & {readonly vms: readonly number[]}): void {
		if (fault.kind === 'dead' || fault.kind === 'shutdown') {
			this.#schedule(fault.kind === 'shutdown' ? fault.from : fault.until, () => {
				for (const index of fault.vms) {
					const vm = this.#vms[index]!;
					if (fault.kind === 'shutdown') {
						for (const {to, reply} of vm.agent.beginShutdown(this.#now)) {
							this.#deliverReply(index, Number(to.slice(3)), reply);
						}

						this.#flush(index, vm);
					} else {
						vm.incarnation += 1;
						vm.agent = this.#createAgent(vm.name, vm.incarnation);
					}
				}
			});
		}
	}

	#scheduleRequests(account: SimulatedAccount): void {
		const meanMs = 1000 / account.requestsPerSecond;
		let count = 0;
		const next = (): void => {
			const index = Math.floor(this.#random() * this.#vms.length);
			const units = account.units[count % account.units.length]!;
			count += 1;
			if (!this.#is(index, 'suspended') && !this.#isDead(index) && !this.#hasEnded(index)) {
				this.#request(index, account, units);
			}

			this.#schedule(this.#now - (Math.log(1 - this.#random()) * meanMs), next);
		};

		this.#schedule(warmUpMs, next);
	}

	#request(index: number, account: SimulatedAccount, units: number): void {
		const vm = this.#vms[index]!;
		const request: Request = {at: this.#now, account, units};
		this.#requests.push(request);
		const result = vm.agent.ask(account.name, units, this.#now);
		if (typeof result === 'number') {
			vm.pending.set(result, request);
			this.#flush(index, vm);
		} else {
			this.#settle(request, result);
		}
	}

	#decide(vm: Vm, decided: readonly core.quota.DecidedAsk[]): void {
		for (const result of decided) {
			const request = vm.pending.get(result.id);
			vm.pending.delete(result.id);
			if (request !== undefined) {
				this.#settle(request, result);
			}
		}
	}

	#settle(request: Request, {decision, askedAt}: core.quota.DecidedAsk): void {
		request.isAdmitted = decision.outcome === core.quota.QuotaOutcome.Granted;
		request.retryAfterMs = decision.retryAfterMs;
		if (request.isAdmitted) {
			const latest = askedAt + core.quota.computeMaxGrantAgeMs(this.scenario.bounds);
			const at = this.scenario.usesLate ? Math.max(this.#now, latest) : this.#now;
			this.#sends.push({at, account: request.account, units: request.units});
		}
	}

	#flush(index: number, vm: Vm): void {
		for (const {to, call} of vm.agent.takeCalls(this.#now)) {
			const target = Number(to.slice(3));
			this.#deliver(index, target, () => {
				const reply = this.#vms[target]!.agent.receiveCall(call, this.#now);
				this.#flush(target, this.#vms[target]!);
				this.#deliverReply(target, index, reply);
			});
		}
	}

	#deliverReply(from: number, to: number, reply: core.quota.QuotaReply): void {
		const vm = this.#vms[to]!;
		this.#deliver(from, to, () => {
			this.#decide(vm, vm.agent.receiveReply(reply, this.#now));
			this.#flush(to, vm);
		});
	}

	#deliver(from: number, to: number, receive: () => void): void {
		this.messages += 1;
		const recipient = this.#vms[to]!.incarnation;
		if (this.#isLost(from, to)) {
			return;
		}

		const arrive = (): void => {
			if (this.#is(to, 'suspended')) {
				// Stays in the socket's buffer.
				this.#schedule(this.#now + 1, arrive);
			} else if (!this.#isDead(to) && !this.#hasEnded(to) && this.#vms[to]!.incarnation === recipient) {
				receive();
			}
		};

		this.#schedule(this.#now + 0.5 + (this.#random() * (this.scenario.maxDelayMs ?? 2)), arrive);
	}

	#isLost(from: number, to: number): boolean {
		return this.#faults.some(fault => {
			if (this.#now < fault.from || this.#now >= fault.until) {
				return false;
			}

			return (fault.kind === 'cut' && fault.vms.includes(from) !== fault.vms.includes(to))
				|| (fault.kind === 'lost' && this.#random() < (fault.share ?? 0));
		});
	}

	#is(index: number, kind: QuotaFault['kind']): boolean {
		return this.#faults.some(fault => fault.kind === kind && fault.vms.includes(index) && this.#now >= fault.from && this.#now < fault.until);
	}

	#isDead(index: number): boolean {
		return this.#is(index, 'dead');
	}

	#hasEnded(index: number): boolean {
		return this.#faults.some(fault => fault.kind === 'shutdown' && fault.vms.includes(index) && this.#now >= fault.until);
	}

	#createResult(account: SimulatedAccount): AccountResult {
		const {windowMs, overshoot, slack} = this.scenario.bounds;
		const sends = this.#sends.filter(send => send.account === account).sort((a, b) => a.at - b.at);
		let first = 0;
		let sum = 0;
		let most = 0;
		for (const {at, units} of sends) {
			sum += units;
			while (sends[first]!.at <= at - windowMs) {
				sum -= sends[first]!.units;
				first += 1;
			}

			most = Math.max(most, sum);
		}

		const requests = this.#requests.filter(request => request.account === account);
		const owed = listOwed(account, requests);
		return {
			maxInWindow: most / ((((account.unitsPerSecond * windowMs / 1000) + account.burst) * (1 + overshoot)) + slack),
			admittedShare(from, until = Infinity) {
				const counted = owed.filter(({at, isAdmitted}) => at >= from && at < until && isAdmitted !== undefined);
				return sumUnits(counted.filter(({isAdmitted}) => isAdmitted)) / sumUnits(counted);
			},
			usedShare(from, until = Infinity) {
				const isCounted = ({at, isAdmitted}: Request): boolean => at >= from && at < until && isAdmitted !== undefined;
				return sumUnits(requests.filter(request => isCounted(request) && request.isAdmitted)) / sumUnits(owed.filter(request => isCounted(request)));
			},
			servedShare(from, until = Infinity) {
				const counted = requests.filter(({at, isAdmitted}) => at >= from && at < until && isAdmitted !== undefined);
				return counted.filter(({isAdmitted}) => isAdmitted).length / counted.length;
			},
		};
	}

	#schedule(at: number, run: () => void): void {
		this.#order += 1;
		const event: Event = {at, order: this.#order, run};
		let index = this.#events.length;
		this.#events.push(event);
		while (index > 0) {
			const parent = Math.floor((index - 1) / 2);
			if (isEarlier(this.#events[parent]!, event)) {
				break;
			}

			this.#events[index] = this.#events[parent]!;
			index = parent;
		}

		this.#events[index] = event;
	}

	#pop(): Event {
		const [first] = this.#events;
		const last = this.#events.pop()!;
		let index = 0;
		while (this.#events.length > 0) {
			const left = (2 * index) + 1;
			const right = left + 1;
			const child = right < this.#events.length && isEarlier(this.#events[right]!, this.#events[left]!) ? right : left;
			if (child >= this.#events.length || isEarlier(last, this.#events[child]!)) {
				this.#events[index] = last;
				break;
			}

			this.#events[index] = this.#events[child]!;
			index = child;
		}

		return first!;
	}
}

function isEarlier(a: Event, b: Event): boolean {
	return a.at === b.at ? a.order < b.order : a.at < b.at;
}

function sumUnits(requests: readonly Request[]): number {
	let sum = 0;
	for (const {units} of requests) {
		sum += units;
	}

	return sum;
}

/** Lists the requests that a single bucket without any delay admits. */
function listOwed({unitsPerSecond, burst}: SimulatedAccount, requests: readonly Request[]): Request[] {
	let level = burst;
	let at = 0;
	return requests.filter(request => {
		level = Math.min(burst, level + ((request.at - at) * unitsPerSecond / 1000));
		at = request.at;
		const isOwed = level >= request.units;
		level -= isOwed ? request.units : 0;
		return isOwed;
	});
}
