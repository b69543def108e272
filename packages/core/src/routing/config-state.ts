import * as routeTable from './route-table.js';
import type * as gatewayConfig from './gateway-config.js';

/**
 * The configuration in force on this VM and the time at which the store last confirmed it. Versions go only forwards
 * within a process.
 */
export class ConfigState {
	#table: routeTable.RouteTable | undefined;
	#confirmedAt = -Infinity;

	/** The tables of the configuration in force, or `undefined` before the first one. */
	get table(): routeTable.RouteTable | undefined {
		return this.#table;
	}

	/**
	 * Takes a configuration that was read.
	 *
	 * @returns Whether it is newer than the one in force, which it then replaces.
	 */
	accept(config: gatewayConfig.GatewayConfig): boolean {
		if (this.#table !== undefined && config.version <= this.#table.config.version) {
			return false;
		}

		this.#table = new routeTable.RouteTable(config);
		return true;
	}

	/**
	 * Notes that the store confirmed that nothing newer exists.
	 *
	 * @param startedAt - When the confirming call began, in milliseconds of the suspension-aware clock.
	 */
	confirm(startedAt: number): void {
		this.#confirmedAt = Math.max(this.#confirmedAt, startedAt);
	}

	/** Milliseconds since the last confirmation; infinite before the first one. */
	ageMs(now: number): number {
		return this.#table === undefined ? Infinity : now - this.#confirmedAt;
	}
}
