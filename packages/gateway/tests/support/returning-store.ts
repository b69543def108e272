import * as kv from '@bluebellmast/kv';
import type * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import type * as virtualTime from './virtual-time.js';

type Item = {readonly value: Uint8Array; readonly revision: number; readonly lease?: string};
type Event = {readonly key: string; readonly revision: number; readonly item?: Item};
type Lease = {readonly ttlMs: number; readonly endsAt: number};

type Contents = {
	readonly revision: number;
	readonly items: ReadonlyMap<string, Item>;
	readonly leases: ReadonlyMap<string, Lease>;
	readonly lastLease: number;
};

/** Type of a call of which the store can be made to return in the middle. */
export enum CallType {
	Get = 'get',
	Page = 'page',
	Poll = 'poll',
	Write = 'write',
	Grant = 'grant',
	Renewal = 'renewal',
	Revocation = 'revocation',
}

/** What disturbs the calls of one VM. */
export type Link = {
	/** Whether no call reaches the store. */
	isCut: boolean;
	/** Whether no response reaches the VM. */
	losesResponses: boolean;
	/** Added to the time that responses take. */
	responseDelayMs: number;
	/** Runs a function on the VM after a time, or later while the VM is suspended. */
	readonly schedule: (ms: number, run: () => void) => void;
};

type Call<Value> = {
	readonly type: CallType;
	readonly link: Link;
	readonly eras: kv.kv.KvEras;
	readonly basedOn?: number;
	/** Executes the call at the store. */
	readonly execute: (era: number) => purify.Either<kv.kv.KvError, Value>;
};

const callTimeoutMs = 700;
const copyIntervalMs = 100;
const maxLatencyMs = 20;
/** Delay of a write whose response is lost and which is executed late, in milliseconds. */
const lateExecutionMs = 1000;

/** Model of a key-value store in virtual time that can return from a copy of its contents in the next era. */
export class ReturningStore {
	era = 1;
	/** Times of the calls that arrived, with their types. */
	readonly arrivals: Array<{readonly at: number; readonly type: CallType}> = [];
	/** Findings about calls that name a revision or a lease that their VM never read. */
	readonly findings: string[] = [];
	/** The next call of a type at which the store returns from a copy, after it was executed and before its response is sent. */
	trap: {readonly type: CallType; readonly spring: () => void} | undefined;
	#contents: Contents = {
		revision: 1, items: new Map(), leases: new Map(), lastLease: 0,
	};

	#history: Event[] = [];
	#copies: Array<{readonly at: number; readonly contents: Contents}> = [];
	#isAway = false;
	#waiting: Array<() => void> = [];

	constructor(
		private readonly time: virtualTime.VirtualTime,
		private readonly random: core.util.SeededRandom,
		private readonly itemsPerPage: number,
	) {
		this.#keepCopies();
	}

	get items(): ReadonlyMap<string, Item> {
		return this.#contents.items;
	}

	get revision(): number {
		return this.#contents.revision;
	}

	get isAway(): boolean {
		return this.#isAway;
	}

	/** Writes a key, or deletes it without a value. */
	write(key: string, value: Uint8Array | undefined, lease?: string): number {
		const revision = this.#contents.revision + 1;
		const item = value && {value, revision, lease};
		const items = new Map(this.#contents.items);
		if (item === undefined) {
			items.delete(key);
		} else {
			items.set(key, item);
		}

		this.#contents = {...this.#contents, revision, items};
		this.#history.push({key, revision, item});
		this.#wakeUp();
		return revision;
	}

	/** Goes away for a time and returns with the contents of some time before. */
	returnFromCopy(ageMs: number, awayMs: number, onReturn: () => void): void {
		if (this.#isAway) {
			return;
		}

		const copyAt = this.time.now - ageMs;
		const copy = this.#copies.findLast(({at}) => at <= copyAt) ?? this.#copies[0]!;
		this.#isAway = true;
		this.#wakeUp();
		this.time.schedule(awayMs, () => {
			const leases = [...copy.contents.leases].map(([id, lease]) => [id, {...lease, endsAt: lease.endsAt + this.time.now - copy.at}] as const);
			this.#contents = {...copy.contents, leases: new Map(leases)};
			this.#history = this.#history.filter(({revision}) => revision <= copy.contents.revision);
			this.#copies = this.#copies.filter(({at}) => at <= copy.at);
			this.era += 1;
			this.#isAway = false;
			onReturn();
		});
	}

	/** Creates the client of one VM. */
	createClient(link: Link): kv.kv.KeyValueClient & kv.kv.KvChangeFeed & kv.kv.KvEraSource {
		const eras = new kv.kv.KvEras();
		const known = new Set<string>();
		const learn = (era: number, key: string, revision: number): void => {
			known.add(`${era} ${key} ${revision}`);
		};

		const check = (era: number | undefined, key: string, revision: number): void => {
			const isSent = eras.checkCall(era).isRight();
			if (isSent && revision !== 0 && !known.has(`${era} ${key} ${revision}`)) {
				this.findings.push(`revision ${revision} of '${key}' was not read in era ${era}`);
			}
		};

		const readEntry = (key: string, item: Item, era: number): kv.kv.KvEntry => {
			learn(era, key, item.revision);
			return {
				key, value: item.value, revision: item.revision, era,
			};
		};

		const common = {link, eras};

		// eslint-disable-next-line max-params -- The parameters of the call and the era.
		const swap = (key: string, expected: number, value: Uint8Array | undefined, lease: string | undefined, era: number): purify.Either<kv.kv.KvError, kv.kv.KvSwapResult> => {
			const current = this.items.get(key);
			if ((current?.revision ?? 0) !== expected) {
				return purify.Right({
					swapped: false, revision: this.revision, current: current && readEntry(key, current, era), era,
				});
			}

			if (lease !== undefined && !this.#contents.leases.has(lease)) {
				return fail(kv.kv.KvErrorCode.LeaseLost);
			}

			const revision = this.write(key, value, lease);
			learn(era, key, revision);
			return purify.Right({swapped: true, revision, era});
		};

		const client: Omit<kv.kv.KeyValueClient, 'getPrefix' | 'watch'> & kv.kv.KvChangeFeed & kv.kv.KvEraSource = {
			eras,
			get: async key => this.#call({
				...common, type: CallType.Get, execute: era => {
					const item = this.items.get(key);
					return purify.Right(item && readEntry(key, item, era));
				},
			}),
			compareAndSwap: async (key, expected, value, leaseId, basedOn) => { // eslint-disable-line max-params -- The last two are optional.
				check(basedOn, key, expected);
				if (leaseId !== undefined) {
					check(basedOn, 'lease', Number(leaseId));
				}

				return this.#call({
					...common, type: CallType.Write, basedOn, execute: era => swap(key, expected, value, leaseId, era),
				});
			},
			compareAndDelete: async (key, expected, basedOn) => {
				check(basedOn, key, expected);
				return this.#call({
					...common, type: CallType.Write, basedOn, execute: era => swap(key, expected, undefined, undefined, era),
				});
			},
			grantLease: async ttlMs => this.#call({
				...common, type: CallType.Grant, execute: era => {
					const lastLease = this.#contents.lastLease + 1;
					const id = String(lastLease);
					this.#setLease(id, {ttlMs, endsAt: this.time.now + ttlMs}, lastLease);
					learn(era, 'lease', lastLease);
					return purify.Right({id, ttlMs, era});
				},
			}),
			keepLeaseAlive: async lease => {
				check(lease.era, 'lease', Number(lease.id));
				return this.#call({
					...common, type: CallType.Renewal, basedOn: lease.era, execute: () => {
						const held = this.#contents.leases.get(lease.id);
						if (held === undefined) {
							return fail(kv.kv.KvErrorCode.LeaseLost);
						}

						this.#setLease(lease.id, {ttlMs: held.ttlMs, endsAt: this.time.now + held.ttlMs});
						return purify.Right(lease);
					},
				});
			},
			revokeLease: async lease => {
				check(lease.era, 'lease', Number(lease.id));
				return this.#call({
					...common, type: CallType.Revocation, basedOn: lease.era, execute: () => {
						this.#endLease(lease.id);
						return purify.Right(undefined);
					},
				});
			},
			snapshot: async prefix => {
				const entries: kv.kv.KvEntry[] = [];
				let first: {readonly revision: number; readonly era: number} | undefined;
				for (let after = ''; ;) {
					const read = await this.#call({ // eslint-disable-line no-await-in-loop -- Pages follow one another.
						...common, type: CallType.Page, basedOn: first?.era, execute: era => {
							const items = [...this.items].filter(([key]) => key.startsWith(prefix) && key > after).sort(([a], [b]) => a < b ? -1 : 1);
							learn(era, '', this.revision);
							return purify.Right({
								page: items.slice(0, this.itemsPerPage).map(([key, item]) => readEntry(key, item, era)),
								hasMore: items.length > this.itemsPerPage,
								at: {revision: this.revision, era},
							});
						},
					});
					if (read.isLeft()) {
						return read;
					}

					const {page, hasMore, at} = read.unsafeCoerce();
					first ??= at;
					entries.push(...page);
					after = page.at(-1)?.key ?? '';
					if (!hasMore) {
						return purify.Right({entries, ...first});
					}
				}
			},
			poll: async (prefix, after, waitMs, {era: basedOn, signal} = {}) => {
				check(basedOn, '', after);
				return this.#poll(after, waitMs, signal, {
					...common, type: CallType.Poll, basedOn, execute: era => {
						if (after > this.revision) {
							return fail(kv.kv.KvErrorCode.HistoryLost);
						}

						learn(era, '', this.revision);
						return purify.Right({
							changes: this.#history.filter(({key, revision}) => revision > after && key.startsWith(prefix))
								.map(({key, item}) => ({key, entry: item && readEntry(key, item, era)})),
							revision: this.revision,
						});
					},
				});
			},
		};
		return client as typeof client & kv.kv.KeyValueClient;
	}

	async #call<Value>(call: Call<Value>): Promise<purify.Either<kv.kv.KvError, Value>> {
		const checked = call.eras.checkCall(call.basedOn);
		if (checked.isLeft()) {
			return checked;
		}

		return new Promise(resolve => {
			this.time.schedule(this.random.int(maxLatencyMs), () => {
				this.#arrive(call, resolve);
			});
		});
	}

	async #poll<Value>(
		after: number,
		waitMs: number,
		signal: AbortSignal | undefined,
		call: Call<Value>,
	): Promise<purify.Either<kv.kv.KvError, Value>> {
		const checked = call.eras.checkCall(call.basedOn);
		if (checked.isLeft()) {
			return checked;
		}

		return new Promise(resolve => {
			signal?.addEventListener('abort', () => {
				resolve(fail(kv.kv.KvErrorCode.OutcomeUnknown));
			});
			this.time.schedule(this.random.int(maxLatencyMs), () => {
				const startedIn = this.era;
				let isDone = false;
				const end = (): void => {
					if (!isDone) {
						isDone = true;
						this.#arrive(call, resolve);
					}
				};

				const wait = (): void => {
					if (this.#isAway || this.era !== startedIn || this.revision !== after || call.link.isCut) {
						end();
					} else {
						this.#waiting.push(wait);
					}
				};

				wait();
				this.time.schedule(waitMs, end);
			});
		});
	}

	#arrive<Value>({type, link, eras, basedOn, execute}: Call<Value>, resolve: (result: purify.Either<kv.kv.KvError, Value>) => void): void {
		const respond = (ms: number, createResult: () => purify.Either<kv.kv.KvError, Value>): void => {
			link.schedule(ms, () => {
				resolve(createResult());
			});
		};

		const loseResponse = (): void => {
			respond(callTimeoutMs, () => fail(kv.kv.KvErrorCode.OutcomeUnknown));
		};

		if (link.isCut) {
			loseResponse();
			return;
		}

		if (this.#isAway) {
			respond(this.random.int(maxLatencyMs), () => fail(kv.kv.KvErrorCode.NotSent));
			return;
		}

		if (link.losesResponses && type === CallType.Write && this.random.int(2) === 0) {
			loseResponse();
			this.time.schedule(lateExecutionMs, () => {
				if (!this.#isAway) {
					this.#endLeases();
					execute(this.era);
				}
			});
			return;
		}

		this.#endLeases();
		this.arrivals.push({at: this.time.now, type});
		const {era} = this;
		const result = execute(era);
		const hasSprung = this.trap?.type === type;
		if (hasSprung) {
			const {spring} = this.trap!;
			this.trap = undefined;
			spring();
		}

		if (link.losesResponses) {
			loseResponse();
			return;
		}

		respond(this.random.int(maxLatencyMs) + link.responseDelayMs, () => eras.checkResponse(String(era), basedOn).chain(() => result));
	}

	#setLease(id: string, lease: Lease, lastLease = this.#contents.lastLease): void {
		this.#contents = {...this.#contents, leases: new Map([...this.#contents.leases, [id, lease]]), lastLease};
	}

	#endLease(id: string): void {
		const leases = new Map(this.#contents.leases);
		leases.delete(id);
		this.#contents = {...this.#contents, leases};
		for (const [key, item] of this.items) {
			if (item.lease === id) {
				this.write(key, undefined);
			}
		}
	}

	#endLeases(): void {
		for (const [id, {endsAt}] of this.#contents.leases) {
			if (endsAt <= this.time.now) {
				this.#endLease(id);
			}
		}
	}

	#keepCopies(): void {
		if (!this.#isAway) {
			this.#endLeases();
			this.#copies.push({at: this.time.now, contents: this.#contents});
		}

		this.time.schedule(copyIntervalMs, () => {
			this.#keepCopies();
		});
	}

	#wakeUp(): void {
		const waiting = this.#waiting;
		this.#waiting = [];
		this.time.schedule(0, () => {
			for (const wake of waiting) {
				wake();
			}
		});
	}
}

function fail(code: kv.kv.KvErrorCode): purify.Either<kv.kv.KvError, never> {
	return purify.Left({code, message: 'model'});
}
