import {Buffer} from 'node:buffer';
import * as core from '@bluebellmast/core';
import * as clients from '@bluebellmast/kv';
import * as purify from 'purify-ts';
import * as gateway from '@bluebellmast/gateway';

/** A write or removal of an endpoint's entry in the store. Times are in milliseconds of virtual time. */
export type EntryChange = {
	readonly at: number;
	readonly id: string;
	readonly isListed: boolean;
	/** State of a written entry; `ready` by default. */
	readonly state?: core.fleet.EndpointState;
};

/** A time in which the calls of the VM fail. */
export type FailedCalls = {
	readonly from: number;
	readonly to: number;
	/** Whether calls are left without a response, rather than rejected at once. */
	readonly isSilent: boolean;
};

/** What happens to the store and to the VM. */
export type DepartureScenario = {
	readonly changes: readonly EntryChange[];
	readonly failedCalls?: readonly FailedCalls[];
	/** Suspensions of the VM. */
	readonly suspensions?: ReadonlyArray<{readonly from: number; readonly to: number}>;
	/** When the store discards its history, so that the next poll is followed by a snapshot. */
	readonly historyLostAt?: readonly number[];
	readonly untilMs: number;
};

const pool = 'app';
const latencyMs = 4;
/** Time that a call without a response takes, in addition to the wait that it requests. */
const callTimeoutMs = 700;
const tickMs = 100;
const probeMs = 10;

/** One VM that follows the entries of endpoints by a real {@link gateway.controllers.StoreFeed} and sends to all that it may use, in virtual time. */
export class SimulatedDepartures implements clients.kv.KvChangeFeed {
	/** Log lines with the time at which they were written. */
	readonly lines: Array<{readonly at: number; readonly event: core.log.LogEvent; readonly fields: Readonly<Record<string, unknown>>}> = [];
	readonly #usedAt = new Map<string, number[]>();
	readonly #fleet = new gateway.placement.FleetState();
	readonly #changes: readonly EntryChange[];
	readonly #controller: gateway.controllers.EndpointController;
	readonly #feed: gateway.controllers.StoreFeed;
	#now = 0;
	#historyLosses: number[];

	constructor(private readonly scenario: DepartureScenario) {
		this.#changes = [...scenario.changes].sort((a, b) => a.at - b.at);
		this.#historyLosses = [...scenario.historyLostAt ?? []];
		const clock: gateway.util.Clocks = {
			monotonicNow: () => this.#now - this.#suspendedMs(),
			suspendAwareNow: () => this.#now,
			wallNow: () => this.#now,
		};
		const log: gateway.util.EventLog = {
			write: (event, fields) => {
				this.lines.push({at: this.#now, event, fields});
			},
		};
		this.#controller = new gateway.controllers.EndpointController({
			decoder: {
				endpointIdOf: (key: string) => key,
				decode: ({key, value}: clients.kv.KvEntry) => ({type: gateway.ports.StoreEntryType.Endpoint, entry: createEntry(key, Buffer.from(value).toString())}),
			},
			config: {table: undefined},
			fleet: this.#fleet,
			pauses: {removeEnded: () => undefined, isPaused: () => false},
			connections: {retain: () => undefined, closeIdle: () => undefined},
			dispatcher: {abortOutdatedAttempts: () => undefined, abortPausedAttempts: () => undefined, findTarget: () => undefined},
			admin: {checkHealth: async () => ({isAlive: true})},
			clock,
			log,
		} as unknown as gateway.controllers.EndpointControllerDependencies);
		this.#feed = new gateway.controllers.StoreFeed({
			store: this,
			prefix: '',
			listener: this.#controller,
			sleep: async ms => {
				this.#advanceTo(this.#now + ms);
			},
			clock,
			log,
		});
	}

	/** Runs the scenario to its end. */
	async run(): Promise<this> {
		await this.#feed.run();
		return this;
	}

	/** Returns when requests were sent to an endpoint; one is sent every 10 ms while it may be used. */
	sendsTo(id: string): readonly number[] {
		return this.#usedAt.get(id) ?? [];
	}

	/** Returns when the last request was sent to an endpoint. */
	lastSendTo(id: string): number {
		return this.sendsTo(id).at(-1) ?? -Infinity;
	}

	/** Returns the longest time without a request to an endpoint from a time on, in milliseconds. */
	longestPauseOf(id: string, from: number, to: number): number {
		const sends = [from, ...this.sendsTo(id).filter(at => at >= from && at <= to), to];
		return Math.max(...sends.slice(1).map((at, index) => at - sends[index]!));
	}

	async snapshot(): clients.kv.KvResult<clients.kv.KvSnapshot> {
		const failure = this.#fail(0, this.#now);
		if (failure !== undefined) {
			return purify.Left(failure);
		}

		this.#advanceTo(this.#now + latencyMs);
		const revision = this.#revisionAt(this.#now);
		const listed = new Map<string, clients.kv.KvEntry>();
		for (const [index, change] of this.#changes.slice(0, revision).entries()) {
			const {entry} = this.#toChange(change, index);
			if (entry === undefined) {
				listed.delete(change.id);
			} else {
				listed.set(change.id, entry);
			}
		}

		return purify.Right({entries: [...listed.values()], revision});
	}

	async poll(_prefix: string, after: number, waitMs: number): clients.kv.KvResult<clients.kv.KvChanges> {
		const startedAt = this.#now;
		const nextAt = this.#changes[after]?.at ?? Infinity;
		const endsAt = Math.min(Math.max(nextAt, startedAt), startedAt + waitMs);
		const failure = this.#fail(waitMs, endsAt);
		if (failure !== undefined) {
			return purify.Left(failure);
		}

		if (this.#historyLosses.some(at => at <= startedAt)) {
			this.#historyLosses = this.#historyLosses.filter(at => at > startedAt);
			return purify.Left({code: clients.kv.KvErrorCode.HistoryLost, message: 'simulated'});
		}

		this.#advanceTo(endsAt + latencyMs);
		const revision = this.#revisionAt(this.#now);
		return purify.Right({changes: this.#changes.slice(after, revision).map((change, index) => this.#toChange(change, after + index)), revision});
	}

	/**
	 * Returns the error of a call that fails, and advances to its end.
	 *
	 * @param respondsAt - When the store would respond.
	 */
	#fail(waitMs: number, respondsAt: number): clients.kv.KvError | undefined {
		const startedAt = this.#now;
		const failed = this.scenario.failedCalls?.find(({from, to}) => from <= respondsAt && to > startedAt);
		if (failed === undefined) {
			return undefined;
		}

		this.#advanceTo(failed.isSilent ? startedAt + waitMs + callTimeoutMs : Math.max(startedAt, failed.from) + latencyMs);
		return {code: clients.kv.KvErrorCode.OutcomeUnknown, message: 'simulated'};
	}

	#revisionAt(time: number): number {
		const next = this.#changes.findIndex(({at}) => at > time);
		return next === -1 ? this.#changes.length : next;
	}

	#toChange({id, isListed, state}: EntryChange, index: number): clients.kv.KvChange {
		return isListed
			? {key: id, entry: {key: id, value: Buffer.from(state ?? core.fleet.EndpointState.Ready), revision: index + 1}}
			: {key: id};
	}

	#suspendedMs(): number {
		return (this.scenario.suspensions ?? [])
			.reduce((sum, {from, to}) => sum + Math.max(0, Math.min(this.#now, to) - from), 0);
	}

	/** Advances the time; the VM runs its periodic task and sends requests meanwhile, unless it is suspended. */
	#advanceTo(time: number): void {
		for (let at = Math.floor(this.#now) + 1; at <= time; at++) {
			this.#now = at;
			if (this.scenario.suspensions?.some(({from, to}) => at > from && at < to)) {
				continue;
			}

			if (at % tickMs === 0) {
				this.#controller.tick();
			}

			if (at % probeMs === 0) {
				this.#send();
			}
		}

		this.#now = Math.max(this.#now, time);
		const resumedAt = this.scenario.suspensions?.find(({from, to}) => this.#now > from && this.#now < to)?.to;
		if (resumedAt !== undefined) {
			this.#advanceTo(resumedAt);
		}

		if (this.#now >= this.scenario.untilMs) {
			this.#feed.stop();
		}
	}

	#send(): void {
		for (const {id} of this.#fleet.registry.listReady(pool, this.#now)) {
			const usedAt = this.#usedAt.get(id) ?? [];
			usedAt.push(this.#now);
			this.#usedAt.set(id, usedAt);
		}
	}
}

function createEntry(id: string, state: string): core.fleet.EndpointEntry {
	return {
		id, bornAt: 1, pool, address: '127.0.0.1:9', dataCentre: 'dc-a', slots: 6, state: state as core.fleet.EndpointState, weights: new Map(),
	};
}
