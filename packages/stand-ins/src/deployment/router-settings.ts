/** Address of a router's two listeners. */
export type RouterAddress = {
	readonly vm: string;
	readonly dataCentre: string;
	/** Port for callers. */
	readonly port: number;
	/** Port for links between routers. */
	readonly peerPort: number;
};

/** What the routers' settings refer to. */
export type RouterEnvironment = {
	readonly host: string;
	readonly kvUrl: string;
	readonly vmListUrl: string;
	readonly routers: readonly RouterAddress[];
	readonly extra: Readonly<Record<string, unknown>>;
};

/** Peers that each router is told of. */
const seedPeerCount = 3;

/** Returns the settings file of a router as plain data. */
export function createRouterSettings(router: RouterAddress, environment: RouterEnvironment): Record<string, unknown> {
	const {host, kvUrl, vmListUrl, routers, extra} = environment;
	const peers = routers
		.filter(other => other.vm !== router.vm)
		.slice(0, seedPeerCount)
		.map(other => ({host, port: other.peerPort}));
	return {
		vm: router.vm,
		dataCentre: router.dataCentre,
		region: 'nl-noord',
		listen: {host, port: router.port},
		peer: {host, port: router.peerPort},
		platform: {kv: [kvUrl], vmList: vmListUrl},
		peers,
		stop: {readinessLeadMs: 1000},
		...extra,
	};
}
