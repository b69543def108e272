import type * as gatewayConfig from './gateway-config.js';

/** Finds routes, pools and accounts of one configuration. */
export class RouteTable {
	/** Routes of each host, those with the longest prefix first. */
	readonly #routes = new Map<string, gatewayConfig.Route[]>();
	readonly #pools = new Map<gatewayConfig.PoolName, gatewayConfig.Pool>();
	readonly #accounts = new Map<string, gatewayConfig.ApiAccount>();

	constructor(readonly config: gatewayConfig.GatewayConfig) {
		for (const route of config.routes) {
			const host = route.host.toLowerCase();
			this.#routes.set(host, [...this.#routes.get(host) ?? [], route]);
		}

		for (const routes of this.#routes.values()) {
			routes.sort((a, b) => b.prefix.length - a.prefix.length);
		}

		for (const pool of config.pools) {
			this.#pools.set(pool.name, pool);
		}

		for (const account of config.accounts) {
			for (const key of account.keys) {
				this.#accounts.set(key, account);
			}
		}
	}

	/** Returns the route of a request: of those of its host, the one with the longest prefix of its path. */
	findRoute(host: string, path: string): gatewayConfig.Route | undefined {
		const routes = this.#routes.get(withoutPort(host).toLowerCase());
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

	/** Whether requests on a route need an API key. */
	needsKey(route: gatewayConfig.Route): boolean {
		return !route.isPublic && this.config.accounts.length > 0;
	}
}

function withoutPort(host: string): string {
	return host.replace(/:\d+$/, '');
}

/**
 * Chooses the pool of a request by the pools' weights.
 *
 * @param point - Number from 0 up to but not including 1, drawn for the request.
 */
export function choosePool(route: gatewayConfig.Route, point: number): gatewayConfig.PoolName | undefined {
	let total = 0;
	for (const share of route.pools) {
		total += share.weight;
	}

	let left = point * total;
	for (const share of route.pools) {
		left -= share.weight;
		if (left < 0) {
			return share.pool;
		}
	}

	return route.pools.at(-1)?.pool;
}
