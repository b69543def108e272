import * as check from '../../check/index.js';
import type * as usersPlatform from '../../users-platform/index.js';
import type * as util from '../../util/index.js';
import * as platformConfig from './platform-config.js';

/** What a new configuration changes. */
export enum ConfigChange {
	/** Replaces a key by a new one. The first key stays in all configurations. */
	RevokeKey = 'revoke_key',
	/** Adds a route, and removes the oldest added one if there are many. */
	Routes = 'routes',
	/** Changes the timeout of each route that all configurations have. */
	Timeouts = 'timeouts',
	/** Changes for how long clients may keep an idle connection. */
	IdleTimeout = 'idle_timeout',
}

const baseKeyCount = 6;
const maxExtraRoutes = 3;
const idleTimeoutsMs = [15_000, 1000, 3000, 8000];
/** Factors of the timeouts of routes. */
const timeoutFactors = [0.5, 0.75, 1, 1.5];

/** Simulated operator: writes configurations and names versions of weights. The return of a write is its acknowledgement. */
export class PlatformOperator {
	readonly configs: check.platform.AcknowledgedConfig[] = [];
	readonly versions: check.platform.NamedVersion[] = [];
	readonly #newestVersions = new Map<string, number>();
	#routes = platformConfig.createBaseRoutes();
	#idleTimeoutMs = idleTimeoutsMs[0]!;
	#extraRoutes: platformConfig.SoakRoute[] = [];
	#accounts: Record<string, string> = {};
	#keyNumber = 0;
	#routeNumber = 0;
	#configVersion = 1;

	constructor(private readonly store: usersPlatform.UsersStoreStandIn, private readonly random: util.Random) {
		for (let index = 0; index < baseKeyCount; index++) {
			this.#addKey();
		}
	}

	/** Keys of the newest configuration. */
	get keys(): string[] {
		return Object.keys(this.#accounts);
	}

	/** Writes the first configuration and the first version of each model. */
	start(): void {
		this.#writeConfig();
		for (const {model} of platformConfig.services) {
			if (model !== undefined) {
				this.nameVersion(model);
			}
		}
	}

	newestVersionOf(model: string | undefined): number {
		return model === undefined ? 1 : this.#newestVersions.get(model) ?? 1;
	}

	/** Names the next version of a model. */
	nameVersion(model: string): void {
		const version = (this.#newestVersions.get(model) ?? 0) + 1;
		this.#newestVersions.set(model, version);
		this.store.write(`op/version/${model}`, {model, version});
		this.versions.push({model, version, acknowledgedAt: Date.now()});
	}

	/** Writes all entries again after the store was restored from an older copy. */
	writeAgain(): void {
		this.#writeConfig();
		for (const [model, version] of this.#newestVersions) {
			this.store.write(`op/version/${model}`, {model, version});
		}
	}

	/** Writes a configuration with a change. */
	changeConfig(change: ConfigChange): void {
		switch (change) {
			case ConfigChange.RevokeKey: {
				const {[this.random.pick(this.keys.slice(1))]: _, ...rest} = this.#accounts;
				this.#accounts = rest;
				this.#addKey();
				break;
			}

			case ConfigChange.Routes: {
				this.#routeNumber += 1;
				const route = platformConfig.createExtraRoute(`extra-${this.#routeNumber}`, check.platform.RequestKind.Safe);
				this.#extraRoutes = [...this.#extraRoutes, route].slice(-maxExtraRoutes);
				break;
			}

			case ConfigChange.Timeouts: {
				this.#routes = platformConfig.createBaseRoutes().map(route => ({...route, timeoutMs: route.timeoutMs * this.random.pick(timeoutFactors)}));
				break;
			}

			case ConfigChange.IdleTimeout: {
				this.#idleTimeoutMs = this.random.pick(idleTimeoutsMs);
				break;
			}
		}

		this.#writeConfig();
	}

	/** Returns the routes that clients may ask for: all of the newest configuration, and now and then one that was removed. */
	pickRoute(random: util.Random): platformConfig.SoakRoute {
		if (this.#routeNumber > 0 && random.chance(0.1)) {
			const number = random.integer(Math.max(1, this.#routeNumber - maxExtraRoutes), this.#routeNumber);
			return platformConfig.createExtraRoute(`extra-${number}`, check.platform.RequestKind.Safe);
		}

		return random.pick(this.#routes);
	}

	/** Returns a route of every configuration, as the newest one has it. */
	findRoute(name: string): platformConfig.SoakRoute {
		return this.#routes.find(route => route.name === name)!;
	}

	/** Returns a key of the newest configuration, or now and then any key that a configuration held; none for a public route. */
	pickKey(random: util.Random, route: platformConfig.SoakRoute): string {
		if (route.isPublic) {
			return '';
		}

		return random.chance(0.1) ? `key-${random.integer(1, this.#keyNumber)}` : random.pick(this.keys);
	}

	#addKey(): void {
		this.#keyNumber += 1;
		this.#accounts[`key-${this.#keyNumber}`] = `account-${this.#keyNumber}`;
	}

	#writeConfig(): void {
		this.#configVersion += this.random.integer(1, 4);
		const routes = [...this.#routes, ...this.#extraRoutes];
		const sentAt = Date.now();
		this.store.write('op/config', platformConfig.createConfig(this.#configVersion, routes, this.#accounts, this.#idleTimeoutMs));
		this.configs.push({
			version: this.#configVersion, sentAt, acknowledgedAt: Date.now(),
			routes: routes.map(({name}) => name),
			timeoutsMs: Object.fromEntries(routes.map(({name, timeoutMs}) => [name, timeoutMs])),
			accounts: {...this.#accounts},
		});
	}
}
