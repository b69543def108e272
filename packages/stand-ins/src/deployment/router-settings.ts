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
export type RouterSurroundings = {
	readonly host: string;
	readonly kvUrl: string;
	readonly vmListUrl: string;
	readonly routers: readonly RouterAddress[];
	readonly extra: Readonly<Record<string, unknown>>;
};

/** Peers that each router is told of. */
const peerHints = 3;

/** Returns the settings file of a router as plain data. */
export function createRouterSettings(router: RouterAddress, surroundings: RouterSurroundings): Record<string, unknown> {
	const {host, kvUrl, vmListUrl, routers, extra} = surroundings;
	const peers = routers
		.filter(other => other.vm !== router.vm)
		.slice(0, peerHints)
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
