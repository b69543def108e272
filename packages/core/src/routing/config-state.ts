import * as routeTable from './route-table.js';
import type * as gatewayConfig from './gateway-config.js';

/**
 * The active configuration of this VM and the time at which the key-value store last confirmed it. Within a process the version never
 * decreases.
 */
export class ConfigState {
	#table: routeTable.RouteTable | undefined;
	#confirmedAt = -Infinity;
	#respondedAfter = -Infinity;

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
		if (this.#table !== undefined && config.version <= this.#table.config.version) {
			return false;
		}

		this.#table = new routeTable.RouteTable(config);
		return true;
	}

	/**
	 * Records that the key-value store confirmed that no newer configuration exists.
	 *
	 * @param startedAt - When the confirming call began, in milliseconds of a clock that also counts the time that the VM was suspended.
	 * @param respondedAfter - When the store responded at the earliest; later than `startedAt` if it waited for changes.
	 */
	confirm(startedAt: number, respondedAfter = startedAt): void {
		this.#confirmedAt = Math.max(this.#confirmedAt, startedAt);
		this.#respondedAfter = Math.max(this.#respondedAfter, respondedAfter);
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
