import * as routeTable from './route-table.js';
import type * as gatewayConfig from './gateway-config.js';
import * as unreadableConfig from './unreadable-config.js';

/**
 * The active configuration of this VM and the time at which the key-value store last confirmed it. Within a process the version never
 * decreases.
 */
export class ConfigState {
	#table: routeTable.RouteTable | undefined;
	#confirmedAt = -Infinity;
	#respondedAfter = -Infinity;
	/** The newest configuration, if it can't be applied. */
	#unreadable: unreadableConfig.UnreadableConfig | undefined;

	/** Lookup table of the active configuration; `undefined` before the first one. */
	get table(): routeTable.RouteTable | undefined {
		return this.#table;
	}

	/**
	 * Activates a configuration if it is newer than the active one.
	 *
	 * @returns Whether the configuration was activated.
	 */
	accept(config: gatewayConfig.GatewayConfig): boolean {
		const activeVersion = this.#table?.config.version ?? -Infinity;
		if (config.version >= activeVersion) {
			this.#unreadable = undefined;
		}

		if (config.version <= activeVersion) {
			return false;
		}

		this.#table = new routeTable.RouteTable(config);
		return true;
	}

	/**
	 * Records that the newest configuration can't be applied. The active one stays in force without the keys that the newest one does not list. What
	 * can't be read of the newest one is not confirmed any more, until a configuration that can be applied follows.
	 */
	withholdConfirmation(config: unreadableConfig.UnreadableConfig): void {
		this.#unreadable = config;
		const active = this.#table?.config;
		if (config.hasReadableKeys && config.accounts !== undefined && active?.accounts !== undefined) {
			this.#table = new routeTable.RouteTable({...active, accounts: unreadableConfig.retainListedKeys(active.accounts, config.accounts)});
		}
	}

	/**
	 * Records that the key-value store confirmed that no newer configuration exists.
	 *
	 * @param startedAt - When the confirming call began, in milliseconds of a clock that also counts the time that the VM was suspended.
	 * @param respondedAfter - When the store responded at the earliest; later than `startedAt` if it waited for changes.
	 */
	confirm(startedAt: number, respondedAfter = startedAt): void {
		if (this.#unreadable === undefined) {
			this.#respondedAfter = Math.max(this.#respondedAfter, respondedAfter);
		}

		if (this.#unreadable?.hasReadableKeys !== false || this.#table?.needsKeys !== true) {
			this.#confirmedAt = Math.max(this.#confirmedAt, startedAt);
		}
	}

	/** Returns the milliseconds since the start of the last confirming call; `Infinity` before the first configuration or confirmation. */
	ageMs(now: number): number {
		return this.#table === undefined ? Infinity : now - this.#confirmedAt;
	}

	/**
	 * Returns the age for the rejection of unknown routes and keys, in milliseconds; `Infinity` as above. It counts from the end of the store's wait,
	 * which the use of keys does not rely on: a store that cut its wait short and whose response was delayed would look the same.
	 */
	negativeAgeMs(now: number): number {
		return this.#table === undefined ? Infinity : now - this.#respondedAfter;
	}
}
