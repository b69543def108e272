import * as core from '@bluebellmast/core';
import type * as endpointPauses from '../placement/endpoint-pauses.js';
import type * as ports from '../ports/index.js';
import * as eventLog from '../util/event-log.js';
import type * as coordinationController from './coordination-controller.js';

/** Dependencies of the controller. */
export type CacheStoreControllerDependencies = {
	readonly vm: string;
	readonly config: core.routing.ConfigState;
	readonly coordination: coordinationController.CoordinationController;
	readonly changeFeed: ports.CacheStoreChangeFeed;
	readonly pauses: endpointPauses.EndpointPauses;
	readonly log: eventLog.EventLog;
	/** Applies observations on this VM and sends them to the others. */
	readonly publishObservations: (observations: readonly core.fleet.CacheObservation[]) => void;
};

/** Number of VMs that poll a store; small, since the store limits its concurrent calls and the number of VMs is unbounded. */
const followerCount = 2;
/** Longest wait of one poll, in milliseconds; also bounds the time until a failed store is detected. */
const pollWaitMs = 1000;
/** Minimum size of a part whose changes are passed on, in tokens. */
const minPartTokens = core.fleet.minTrackedPrefixTokens;
const resetObservation: core.fleet.CacheObservation = {type: core.fleet.CacheObservationType.StoreReset, key: '', endpoint: ''};
const downObservation: core.fleet.CacheObservation = {type: core.fleet.CacheObservationType.StoreDown, key: '', endpoint: ''};

/** Whether this VM polls a store while the VMs are the same. */
type Following = {
	readonly address: string;
	readonly vms: readonly string[];
	readonly isFollower: boolean;
};

/** Polls the cache store for changes. A few VMs do this and send their observations to the others. */
export class CacheStoreController {
	#address: string | undefined;
	#incarnation: number | undefined;
	#nextPosition = 0;
	#isUnavailable = false;
	#following: Following | undefined;

	constructor(private readonly dependencies: CacheStoreControllerDependencies) {}

	/** Polls the store once, if this VM is one of those that do. */
	async tick(): Promise<void> {
		const address = this.dependencies.config.table?.config.cacheStores[0]?.address;
		if (address === undefined || !this.#isFollower(address)) {
			this.#address = undefined;
			return;
		}

		if (address !== this.#address) {
			this.#address = address;
			this.#incarnation = undefined;
			this.#nextPosition = 0;
		}

		// The incarnation of a store is known only from its responses.
		const store: core.fleet.EndpointIncarnation = {id: address, bornAt: 0};
		if (this.dependencies.pauses.isPaused(store)) {
			return;
		}

		const result = await this.dependencies.changeFeed.poll(address, this.#nextPosition, pollWaitMs);
		result.ifLeft(err => {
			this.dependencies.pauses.record(store, err.retryAfterMs);
			this.dependencies.publishObservations([downObservation]);
			if (!this.#isUnavailable) {
				this.#isUnavailable = true;
				this.dependencies.log.write(eventLog.LogEvent.CacheStoreLost, {address, problem: err.message});
			}
		});
		result.ifRight(batch => {
			this.#applyChanges(address, batch);
		});
	}

	/** Returns whether this VM polls a store. The VMs are ranked only after they have changed. */
	#isFollower(address: string): boolean {
		const vms = this.dependencies.coordination.listVmNames();
		if (this.#following?.address !== address || this.#following.vms !== vms) {
			const isFollower = core.util.rankByRendezvous(address, vms).slice(0, followerCount).includes(this.dependencies.vm);
			this.#following = {address, vms, isFollower};
		}

		return this.#following.isFollower;
	}

	#applyChanges(address: string, batch: ports.CacheStoreChanges): void {
		const isRestarted = this.#incarnation !== undefined && this.#incarnation !== batch.incarnation;
		this.#incarnation = batch.incarnation;
		// Positions of a new incarnation start at 0.
		this.#nextPosition = isRestarted ? 0 : batch.nextPosition;
		const isReset = isRestarted || batch.hasGap;
		if (this.#isUnavailable) {
			this.#isUnavailable = false;
			this.dependencies.log.write(eventLog.LogEvent.CacheStoreRegained, {address});
		}

		if (isReset) {
			this.dependencies.log.write(eventLog.LogEvent.CacheStoreReset, {address, isRestarted});
		}

		const changeObservations = batch.changes
			.filter(change => !change.isStored || change.tokens >= minPartTokens)
			.map((change): core.fleet.CacheObservation => ({
				type: change.isStored ? core.fleet.CacheObservationType.Stored : core.fleet.CacheObservationType.Evicted,
				key: core.fleet.partKey(change.cacheNamespace, {id: change.partId, tokens: change.tokens}),
				endpoint: '',
			}));
		const observations = [...(isReset ? [resetObservation] : []), ...(isRestarted ? [] : changeObservations)];
		if (observations.length > 0) {
			this.dependencies.publishObservations(observations);
		}
	}
}
