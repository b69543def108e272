/** Name, data centre and ports of a router. */
export type RouterAddress = {
	readonly vm: string;
	readonly dataCentre: string;
	/** Port for client requests. */
	readonly port: number;
	/** Port for connections from other routers. */
	readonly peerPort: number;
};

/** Addresses and settings that all routers of a deployment share. */
export type RouterEnvironment = {
	readonly host: string;
	readonly kvUrl: string;
	readonly vmListUrl: string;
	readonly routers: readonly RouterAddress[];
	readonly extra: Readonly<Record<string, unknown>>;
};

/** Number of peers in each router's settings. */
const seedPeerCount = 3;

/** Returns the content of a router's settings file as plain data. */
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
