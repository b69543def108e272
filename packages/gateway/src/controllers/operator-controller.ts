import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as fleetState from '../placement/fleet-state.js';
import * as namingLog from '../placement/naming-log.js';
import * as ports from '../ports/index.js';
import * as eventLog from '../util/event-log.js';
import * as invalidEntryLog from './invalid-entry-log.js';
import type * as storeFeed from './store-feed.js';

/** Dependencies of the controller. */
export type OperatorControllerDependencies = {
	readonly decoder: ports.StoreDecoder;
	readonly config: core.routing.ConfigState;
	readonly fleet: fleetState.FleetState;
	readonly log: eventLog.EventLog;
	/**
	 * Age to assume, while no VM has published a better one, of versions that were named before this VM first read the store, in
	 * milliseconds: nothing in the store tells when an entry was written.
	 */
	readonly unseenVersionAgeMs: number;
	/** Called when a newer configuration has become active. */
	readonly onConfigAccepted: (config: core.routing.GatewayConfig) => void;
};

/** Applies the operator's entries: the configuration and the weights versions that engines should load. */
export class OperatorController implements storeFeed.StoreFeedListener {
	/** Model of each entry of a weights version that the store lists, by key. */
	readonly #listedModels = new Map<string, string>();

	readonly #invalid: invalidEntryLog.InvalidEntryLog;

	constructor(private readonly dependencies: OperatorControllerDependencies) {
		this.#invalid = new invalidEntryLog.InvalidEntryLog(dependencies.log);
	}

	onSnapshot(entries: readonly clients.kv.KvEntry[], context: storeFeed.ReadContext): void {
		this.#listedModels.clear();
		for (const entry of entries) {
			this.#applyEntry(entry, context);
		}
	}

	onChange(change: clients.kv.KvChange, context: storeFeed.ReadContext): void {
		if (change.entry === undefined) {
			this.#listedModels.delete(change.key);
			this.#invalid.forget(change.key);
		} else {
			this.#applyEntry(change.entry, context);
		}
	}

	/**
	 * Forgets the named versions of models that the operator has removed: neither the store nor the configuration lists them, and no endpoint holds
	 * their weights, which may be used only as long as the times of newer versions are known. A plan that still lists such a model adds it again.
	 */
	tick(): void {
		const {fleet, config} = this.dependencies;
		const {table} = config;
		if (table === undefined) {
			return;
		}

		const named = new Set(this.#listedModels.values());
		fleet.targets.retain(model => named.has(model)
			|| table.config.pools.some(pool => pool.engine?.models.includes(model))
			|| fleet.registry.list().some(entry => fleet.registry.weightVersion(entry.id, model) !== undefined));
	}

	onConfirmed(startedAt: number, respondedAfter: number): void {
		this.dependencies.config.confirm(startedAt, respondedAfter);
	}

	#applyEntry(entry: clients.kv.KvEntry, context: storeFeed.ReadContext): void {
		const item = this.dependencies.decoder.decode(entry);
		if (item.type !== ports.StoreEntryType.Invalid && item.type !== ports.StoreEntryType.UnreadableConfig) {
			this.#invalid.forget(entry.key);
		}

		switch (item.type) {
			case ports.StoreEntryType.Config: {
				this.#applyConfig(item.config);
				break;
			}

			case ports.StoreEntryType.WeightTarget: {
				this.#listedModels.set(entry.key, item.model);
				this.#applyTarget(item.model, item.version, context);
				break;
			}

			case ports.StoreEntryType.Invalid: {
				this.#invalid.recordInvalid(entry.key, item.findings);
				break;
			}

			case ports.StoreEntryType.UnreadableConfig: {
				this.#invalid.recordInvalid(entry.key, item.findings);
				this.#withholdConfirmation(item.config);
				break;
			}

			case ports.StoreEntryType.Endpoint:
			case ports.StoreEntryType.Other: {
				break;
			}
		}
	}

	#applyConfig(config: core.routing.GatewayConfig): void {
		const {config: state, log, onConfigAccepted} = this.dependencies;
		if (!state.accept(config)) {
			return;
		}

		const {keyCount = 0, needsKeys = false} = state.table ?? {};
		log.write(eventLog.LogEvent.ConfigAccepted, {
			version: config.version, routes: config.routes.length, accounts: config.accounts?.length, keys: keyCount, needsKeys,
		});
		onConfigAccepted(config);
	}

	#withholdConfirmation(unreadable: core.routing.UnreadableConfig): void {
		const {config: state, log} = this.dependencies;
		const keysBefore = state.table?.keyCount ?? 0;
		state.withholdConfirmation(unreadable);
		const keys = state.table?.keyCount ?? 0;
		const version = state.table?.config.version;
		const {hasReadableKeys} = unreadable;
		log.write(eventLog.LogEvent.ConfigUnreadable, {
			version, hasReadableKeys, keys, revokedKeys: keysBefore - keys,
		});
	}

	#applyTarget(model: string, version: number, {changed}: storeFeed.ReadContext): void {
		const {fleet, log, unseenVersionAgeMs} = this.dependencies;
		const isFirstRead = changed.after === -Infinity;
		const named = isFirstRead ? {...changed, assumed: changed.before - unseenVersionAgeMs} : changed;
		if (fleet.targets.observe(model, version, named)) {
			const maxAgeMs = isFirstRead ? undefined : Math.round(changed.before - changed.after);
			log.write(eventLog.LogEvent.WeightTargetSeen, {model, version, maxAgeMs});
		}

		namingLog.writeNamingChanges(fleet.targets, log, changed.before);
	}
}
