import * as crypto from 'node:crypto';
import type * as load from '../load/index.js';

/** An endpoint in the manifest. */
export type EndpointAddress = {
	readonly id: string;
	readonly dataCentre: string;
	readonly port: number;
};

/** Contents of a manifest. */
export type ManifestOptions = {
	readonly host: string;
	/** Allowed model versions, preferred first. */
	readonly versions: readonly string[];
	readonly accounts: readonly load.LoadAccount[];
	readonly engines: readonly EndpointAddress[];
	readonly runners: readonly EndpointAddress[];
	readonly cacheStore: EndpointAddress;
};

/** Name of the model that the engines serve. */
export const modelName = 'lantaarn-chat';
/** Name of the booking service. */
export const bookingServiceName = 'boekhuis';

const engineServiceName = 'lantaarn';
const cacheServiceName = 'geheugen';
const engineCapacity = 16;
const runnerCapacity = 32;

/** Returns the content of a manifest file as plain data. */
export function createManifest(options: ManifestOptions): Record<string, unknown> {
	const createEndpoint = (service: string, capacity: number) => (address: EndpointAddress) => ({
		...address, service, host: options.host, capacity,
	});
	return {
		models: [{
			id: modelName, service: engineServiceName, versions: options.versions, supportsForcedPrefix: true,
		}],
		accounts: options.accounts.map(account => createAccount(account)),
		kinds: [
			{
				id: 'question', weight: 1, priority: 1, deadlineMs: 20_000, repeatable: true,
			},
			{
				id: 'booking', weight: 5, deadlineMs: 10_000, repeatable: false,
			},
			{
				id: 'search', weight: 2, deadlineMs: 5000, repeatable: true,
			},
		],
		services: [
			{
				id: engineServiceName, type: 'engine', models: [modelName], defaultKind: 'question', maxConcurrentLoads: 3,
			},
			{
				id: bookingServiceName,
				type: 'plain',
				rules: [{method: 'POST', pathPrefix: '/bookings', kind: 'booking'}],
				defaultKind: 'search',
			},
			{id: cacheServiceName, type: 'cache_store'},
		],
		endpoints: [
			...options.engines.map(address => ({...createEndpoint(engineServiceName, engineCapacity)(address), checksFencing: true})),
			...options.runners.map(address => createEndpoint(bookingServiceName, runnerCapacity)(address)),
			createEndpoint(cacheServiceName, runnerCapacity)(options.cacheStore),
		],
	};
}

function createAccount(account: load.LoadAccount): Record<string, unknown> {
	return {
		id: account.id,
		keyHashes: [crypto.createHash('sha256').update(account.key).digest('hex')],
		limits: {requestsPerSecond: 1000, burst: 2000, tokensPerSecond: 10_000_000},
	};
}
