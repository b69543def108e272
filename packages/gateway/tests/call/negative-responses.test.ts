import * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import * as chai from 'chai';
import * as uniformFloat64 from 'pure-rand/distribution/uniformFloat64';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import * as purify from 'purify-ts';
import * as configs from '../../../core/tests/support/gateway-config.js';
import * as virtualTime from '../support/virtual-time.js';
import * as gateway from '@bluebellmast/gateway';

const {expect} = chai;
const limits: core.routing.ConfigAgeLimits = {revocationMs: 5000, propagationMs: 2000, strictRevocation: true};
const club: core.routing.ApiAccount = {name: 'club', keys: ['key-club'], isIsolated: false};
/** Longest time of a call to the store in each direction, in milliseconds. */
const maxLinkMs = 80;
const sampleMs = 10;
const playedMs = 60_000;
const seeds = [1, 2, 3, 4, 5];
const feeds: ReadonlyArray<{readonly title: string; readonly meanGapMs: number; readonly pollPauseMs: number}> = [
	{title: 'does not change', meanGapMs: Infinity, pollPauseMs: 0},
	{title: 'changes now and then', meanGapMs: 1500, pollPauseMs: 14},
	{title: 'changes now and then, with pauses of a large fleet', meanGapMs: 1500, pollPauseMs: 500},
	{title: 'changes often', meanGapMs: 100, pollPauseMs: 166},
];

/** A store in virtual time whose entries change at random times. */
class ChangingStore implements clients.kv.KvChangeFeed {
	/** Times of the changes; the revision of a change is its number, starting at 1. */
	readonly changedAt: number[] = [];
	readonly #generator: ReturnType<typeof xoroshiro.xoroshiro128plus>;
	#notify: (() => void) | undefined;

	constructor(private readonly time: virtualTime.VirtualTime, seed: number, private readonly meanGapMs: number) {
		this.#generator = xoroshiro.xoroshiro128plus(seed);
		this.#scheduleChange();
	}

	async snapshot(): clients.kv.KvResult<clients.kv.KvSnapshot> {
		await this.#sleep(this.#draw(maxLinkMs));
		return purify.Right({entries: [], revision: this.changedAt.length});
	}

	async poll(_prefix: string, afterRevision: number, waitMs: number): clients.kv.KvResult<clients.kv.KvChanges> {
		await this.#sleep(this.#draw(maxLinkMs));
		if (this.changedAt.length === afterRevision) {
			await Promise.race([this.#sleep(waitMs), new Promise<void>(resolve => {
				this.#notify = resolve;
			})]);
		}

		const revision = this.changedAt.length;
		await this.#sleep(this.#draw(maxLinkMs));
		return purify.Right({changes: Array.from({length: revision - afterRevision}, (_, index) => ({key: `k${afterRevision + index}`})), revision});
	}

	#scheduleChange(): void {
		if (this.meanGapMs === Infinity) {
			return;
		}

		this.time.schedule(this.#draw(2 * this.meanGapMs), () => {
			this.changedAt.push(this.time.now);
			this.#notify?.();
			this.#scheduleChange();
		});
	}

	#draw(max: number): number {
		return uniformFloat64.uniformFloat64(this.#generator) * max;
	}

	async #sleep(ms: number): Promise<void> {
		return new Promise(resolve => {
			this.time.schedule(ms, resolve);
		});
	}
}

// Guards against 503 in place of 401 and 404 while the store responds: an age that counts from the start of a poll exceeds the limit before the next one ends.
describe('requests with an unknown key or route, while the store', () => {
	async function play(seed: number, {meanGapMs, pollPauseMs}: typeof feeds[number]): Promise<void> {
		const time = new virtualTime.VirtualTime();
		const clock: gateway.util.Clocks = {monotonicNow: () => time.now, suspendAwareNow: () => time.now, wallNow: () => time.now};
		const state = new core.routing.ConfigState();
		state.accept(configs.createConfig({accounts: [club], routes: [configs.createRoute({prefix: '/a/'})]}));
		const store = new ChangingStore(time, seed, meanGapMs);
		let seen = 0;
		const feed = new gateway.controllers.StoreFeed({
			store,
			prefix: '',
			pollPauseMs: () => pollPauseMs,
			listener: {
				onSnapshot() {
					seen = store.changedAt.length;
				},
				onChange() {
					seen += 1;
				},
				onConfirmed(startedAt, respondedAfter) {
					state.confirm(startedAt, respondedAfter);
				},
			},
			sleep: async ms => new Promise(resolve => {
				time.schedule(ms, resolve);
			}),
			clock,
			log: {write: () => undefined},
		}, {...gateway.controllers.defaultStoreFeedOptions, maxUnconfirmedMs: core.routing.computeMaxUnconfirmedMs(limits)});
		void feed.run();
		await time.runUntil(2 * maxLinkMs);
		const routeFilter = new gateway.call.RouteFilter(state, limits, clock);
		const accountFilter = new gateway.call.AccountFilter(state, limits, clock);
		const codes = new Set<string>();
		let unseen = 0;
		while (time.now < playedMs) {
			await time.runUntil(time.now + sampleMs); // eslint-disable-line no-await-in-loop -- Samples follow one another.
			for (const target of ['/a/1', '/b/1']) {
				const ctx = {head: {host: 'a.example', target, apiKey: 'key-stranger'}} as unknown as gateway.call.RequestContext;
				codes.add((routeFilter.check(ctx) ?? accountFilter.check(ctx))?.code ?? 'none');
			}

			const knownUntil = time.now - state.negativeAgeMs(time.now);
			unseen += store.changedAt.slice(seen).filter(changedAt => changedAt < knownUntil).length;
		}

		feed.stop();
		expect([...codes]).to.have.members([gateway.call.RefusalCode.UnknownKey, gateway.call.RefusalCode.UnknownRoute]);
		expect(unseen).to.equal(0);
	}

	for (const feed of feeds) {
		for (const seed of seeds) {
			it(`${feed.title}, are rejected as unknown at any time, seed ${seed}`, async () => play(seed, feed)).timeout(20_000);
		}
	}
});
