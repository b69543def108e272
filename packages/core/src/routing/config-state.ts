import * as routeTable from './route-table.js';
import type * as gatewayConfig from './gateway-config.js';

/**
 * The active configuration of this VM and the time at which the key-value store last confirmed it. Within a process the version never
 * decreases.
 */
export class ConfigState {
	#table: routeTable.RouteTable | undefined;
	#confirmedAt = -Infinity;

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
	 */
	confirm(startedAt: number): void {
		this.#confirmedAt = Math.max(this.#confirmedAt, startedAt);
	}

	/** Returns the milliseconds since the last confirmation; `Infinity` before the first configuration or confirmation. */
	ageMs(now: number): number {
		return this.#table === undefined ? Infinity : now - this.#confirmedAt;
	}
}
