/** Options of a deployment on this machine. */
export type DeploymentOptions = {
	/** Folder for settings, manifest, logs and records. */
	readonly folder: string;
	readonly seed: number;
	/** Routers; default 6. */
	readonly routers?: number;
	/** Engines; default 4. */
	readonly engines?: number;
	/** Runners of the booking service; default 2. */
	readonly runners?: number;
	/** Client accounts; default 4. */
	readonly accounts?: number;
	/** Milliseconds that one weight load takes; default 500. */
	readonly weightLoadMs?: number;
	/** Versions of the model that engines hold at their first start; default `['1']`. */
	readonly initialVersions?: readonly string[];
	/** Versions of the model that engines hold when they start again; default none. */
	readonly restartVersions?: readonly string[];
	/** More arguments of each engine, such as `['--cache-limit-tokens', '50000']`; default none. */
	readonly engineArgs?: readonly string[];
	/** More arguments of each runner; default none. */
	readonly runnerArgs?: readonly string[];
	/** More arguments of the key-value service; default none. */
	readonly kvArgs?: readonly string[];
	/** Settings of the routers beyond the needed ones, merged in at the top level; default none. */
	readonly routerSettings?: Readonly<Record<string, unknown>>;
};

/** Options with their defaults filled in. */
export type DeploymentSettings = Required<DeploymentOptions>;

/** Fills in the defaults. */
export function fillDefaults(options: DeploymentOptions): DeploymentSettings {
	return {
		routers: 6,
		engines: 4,
		runners: 2,
		accounts: 4,
		weightLoadMs: 500,
		initialVersions: ['1'],
		restartVersions: [],
		engineArgs: [],
		runnerArgs: [],
		kvArgs: [],
		routerSettings: {},
		...options,
	};
}
