import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';
import type * as fleetState from '../placement/fleet-state.js';
import * as ports from '../ports/index.js';
import type * as clocks from '../util/clocks.js';
import * as eventLog from '../util/event-log.js';
import type * as storeFeed from './store-feed.js';

/** What the controller works with. */
export type OperatorControllerParts = {
	readonly decoder: ports.StoreDecoder;
	readonly config: core.routing.ConfigState;
	readonly fleet: fleetState.FleetState;
	readonly clock: clocks.Clocks;
	readonly log: eventLog.EventLog;
	/** Called when a newer configuration is in force. */
	readonly onConfig: (config: core.routing.GatewayConfig) => void;
};

/** Takes what the operator writes: the configuration and the named versions of weights. */
export class OperatorController implements storeFeed.FeedListener {
	/** Whether the operator's entries were read before, so that what is new was written since. */
	#isRead = false;

	constructor(private readonly parts: OperatorControllerParts) {}

	onSnapshot(entries: readonly clients.kv.KvEntry[]): void {
		for (const entry of entries) {
			this.#take(entry);
		}

		this.#isRead = true;
	}

	onChange(change: clients.kv.KvChange): void {
		if (change.entry !== undefined) {
			this.#take(change.entry);
		}
	}

	onConfirmed(startedAt: number): void {
		this.parts.config.confirm(startedAt);
	}

	#take(entry: clients.kv.KvEntry): void {
		const {decoder, log} = this.parts;
		const item = decoder.decode(entry);
		switch (item.type) {
			case ports.StoreItemType.Config: {
				this.#takeConfig(item.config);
				break;
			}

			case ports.StoreItemType.WeightTarget: {
				this.#takeTarget(item.model, item.version);
				break;
			}

			case ports.StoreItemType.Invalid: {
				log.write(eventLog.LogEvent.StoreEntryInvalid, {key: entry.key, findings: item.findings.join('; ')});
				break;
			}

			case ports.StoreItemType.Endpoint:
			case ports.StoreItemType.Other: {
				break;
			}
		}
	}

	#takeConfig(config: core.routing.GatewayConfig): void {
		if (this.parts.config.accept(config)) {
			this.parts.log.write(eventLog.LogEvent.ConfigAccepted, {version: config.version, routes: config.routes.length});
			this.parts.onConfig(config);
		}
	}

	#takeTarget(model: string, version: number): void {
		const {targets} = this.parts.fleet;
		const now = this.parts.clock.monotonicNow();
		const isNewest = this.#isRead ? targets.observe(model, version, now) : targets.addReported(model, version, now);
		if (isNewest) {
			this.parts.log.write(eventLog.LogEvent.WeightTargetSeen, {model, version});
		}
	}
}
