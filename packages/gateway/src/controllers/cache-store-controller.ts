import * as core from '@bluebellmast/core';
import type * as ports from '../ports/index.js';
import * as eventLog from '../util/event-log.js';
import type * as coordinationController from './coordination-controller.js';

/** What the controller works with. */
export type CacheStoreControllerDependencies = {
	readonly vm: string;
	readonly config: core.routing.ConfigState;
	readonly coordination: coordinationController.CoordinationController;
	readonly changeFeed: ports.CacheStoreChangeFeed;
	readonly log: eventLog.EventLog;
	/** Takes signs for this VM and passes them on to the others. */
	readonly publishObservations: (signs: readonly core.fleet.CacheObservation[]) => void;
};

/** VMs that follow one store, so that the calls it allows at once suffice for any number of VMs. */
const followers = 2;
/** Longest wait of one call, in milliseconds: the time to notice a dead store. */
const waitMs = 1000;
/** Parts below this size are not worth to be fetched, in tokens. */
const minTokens = 1000;
const resetSign: core.fleet.CacheObservation = {type: core.fleet.CacheObservationType.StoreReset, key: '', endpoint: ''};
const downSign: core.fleet.CacheObservation = {type: core.fleet.CacheObservationType.StoreDown, key: '', endpoint: ''};

/** Follows what the cache store has, on a few VMs that tell the others. */
export class CacheStoreController {
	#address: string | undefined;
	#incarnation: number | undefined;
	#next = 0;
	#isLost = false;

	constructor(private readonly parts: CacheStoreControllerDependencies) {}

	/** Reads the next news, if this VM is one that follows the store. */
	async tick(): Promise<void> {
		const address = this.parts.config.table?.config.cacheStores[0]?.address;
		if (address === undefined || !this.#follows(address)) {
			this.#address = undefined;
			return;
		}

		if (address !== this.#address) {
			this.#address = address;
			this.#incarnation = undefined;
			this.#next = 0;
		}

		const read = await this.parts.changeFeed.poll(address, this.#next, waitMs);
		read.ifLeft(err => {
			this.parts.publishObservations([downSign]);
			if (!this.#isLost) {
				this.#isLost = true;
				this.parts.log.write(eventLog.LogEvent.CacheStoreLost, {address, problem: err.message});
			}
		});
		read.ifRight(news => {
			this.#take(address, news);
		});
	}

	#follows(address: string): boolean {
		const ranked = core.util.rankByRendezvous(address, this.parts.coordination.listVmNames());
		return ranked.slice(0, followers).includes(this.parts.vm);
	}

	#take(address: string, news: ports.CacheStoreChanges): void {
		const isRestarted = this.#incarnation !== undefined && this.#incarnation !== news.incarnation;
		this.#incarnation = news.incarnation;
		// The new incarnation counts from the start again.
		this.#next = isRestarted ? 0 : news.nextPosition;
		const isReset = isRestarted || news.hasGap;
		if (this.#isLost) {
			this.#isLost = false;
			this.parts.log.write(eventLog.LogEvent.CacheStoreRegained, {address});
		}

		if (isReset) {
			this.parts.log.write(eventLog.LogEvent.CacheStoreReset, {address, isRestarted});
		}

		const signs = news.changes
			.filter(change => !change.isStored || change.tokens >= minTokens)
			.map((change): core.fleet.CacheObservation => ({
				type: change.isStored ? core.fleet.CacheObservationType.Stored : core.fleet.CacheObservationType.Evicted,
				key: core.fleet.partKey(change.cacheNamespace, {id: change.partId, tokens: change.tokens}),
				endpoint: '',
			}));
		const all = [...(isReset ? [resetSign] : []), ...(isRestarted ? [] : signs)];
		if (all.length > 0) {
			this.parts.publishObservations(all);
		}
	}
}
