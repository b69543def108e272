/** Options of a local deployment. */
export type DeploymentOptions = {
	/** Folder for the settings, manifest, log and record files. */
	readonly folder: string;
	readonly seed: number;
	/** Number of routers; default 6. */
	readonly routers?: number;
	/** Number of engines; default 4. */
	readonly engines?: number;
	/** Number of runners of the booking service; default 2. */
	readonly runners?: number;
	/** Number of client accounts; default 4. */
	readonly accounts?: number;
	/** Duration of a weight load in milliseconds; default 500. */
	readonly weightLoadMs?: number;
	/** Model versions that engines have loaded at their first start; default `['1']`. */
	readonly initialVersions?: readonly string[];
	/** Model versions that engines have loaded after a restart; default none. */
	readonly restartVersions?: readonly string[];
	/** Additional command-line arguments of each engine, such as `['--cache-limit-tokens', '50000']`; default none. */
	readonly engineArgs?: readonly string[];
	/** Additional command-line arguments of each runner; default none. */
	readonly runnerArgs?: readonly string[];
	/** Additional command-line arguments of the key-value service; default none. */
	readonly kvArgs?: readonly string[];
	/** Additional router settings; each replaces the top-level setting of the same name; default none. */
	readonly routerSettings?: Readonly<Record<string, unknown>>;
};

/** Options after defaults are applied. */
export type DeploymentSettings = Required<DeploymentOptions>;

/** Applies the defaults. */
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
