import type * as gatewayConfig from './gateway-config.js';

/** Lookup of routes, pools and accounts in one configuration. */
export class RouteTable {
	/** Routes by host, longest prefix first. */
	readonly #routes = new Map<string, gatewayConfig.Route[]>();
	readonly #pools = new Map<gatewayConfig.PoolName, gatewayConfig.Pool>();
	readonly #accounts = new Map<string, gatewayConfig.ApiAccount>();

	constructor(readonly config: gatewayConfig.GatewayConfig) {
		for (const route of config.routes) {
			const host = route.host.toLowerCase();
			const known = this.#routes.get(host);
			if (known === undefined) {
				this.#routes.set(host, [route]);
			} else {
				known.push(route);
			}
		}

		for (const routes of this.#routes.values()) {
			routes.sort((a, b) => b.prefix.length - a.prefix.length);
		}

		for (const pool of config.pools) {
			this.#pools.set(pool.name, pool);
		}

		for (const account of config.accounts ?? []) {
			for (const key of account.keys) {
				this.#accounts.set(key, account);
			}
		}
	}

	/** Returns the route of a request: the route of its host with the longest matching path prefix. */
	findRoute(host: string, path: string): gatewayConfig.Route | undefined {
		const routes = this.#routes.get(stripPort(host).toLowerCase());
		return routes?.find(route => path.startsWith(route.prefix));
	}

	/** Returns a pool by name. */
	findPool(name: gatewayConfig.PoolName): gatewayConfig.Pool | undefined {
		return this.#pools.get(name);
	}

	/** Returns the account that holds an API key. */
	findAccount(key: string): gatewayConfig.ApiAccount | undefined {
		return this.#accounts.get(key);
	}

	/** Number of API keys that accounts hold. */
	get keyCount(): number {
		return this.#accounts.size;
	}

	/** Whether requests on routes that are not public need an API key. */
	get needsKeys(): boolean {
		return this.config.accounts !== undefined;
	}

	/** Returns whether requests on a route need an API key. */
	needsKey(route: gatewayConfig.Route): boolean {
		return !route.isPublic && this.needsKeys;
	}
}

function stripPort(host: string): string {
	return host.replace(/:\d+$/, '');
}

/**
 * Chooses the pool for a request in proportion to the weights of the route's pools.
 *
 * @param sample - Random number of the request, from 0 inclusive to 1 exclusive.
 */
export function choosePool(route: gatewayConfig.Route, sample: number): gatewayConfig.PoolName | undefined {
	let total = 0;
	for (const share of route.pools) {
		total += share.weight;
	}

	let remaining = sample * total;
	for (const share of route.pools) {
		remaining -= share.weight;
		if (remaining < 0) {
			return share.pool;
		}
	}

	return route.pools.at(-1)?.pool;
}
