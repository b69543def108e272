import * as core from '@bluebellmast/core';

export const engineCount = 6;
const runnerCount = 3;
export const vmCount = 5;
export const accountCount = 8;
export const modelId = 'lantaarn';

/** Returns the other VMs in an hour; one is replaced in each hour. */
export function listVms(hour: number): string[] {
	return Array.from({length: vmCount}, (_, slot) => `vm-${slot}-${Math.floor((hour + slot) / vmCount)}`);
}

/** Returns the manifest of an hour of the simulated week. */
export function createManifest(hour: number): core.model.Manifest {
	const sixth = Math.floor(hour / 6);
	const service = {
		models: [], rules: [], defaultKind: 'booking', maxConcurrentLoads: 1,
	};
	const endpoint = {
		host: '10.0.0.9', port: 1, dataCentre: 'a', checksFencing: true, role: core.model.EngineRole.Mixed, capacity: 16, leaving: false,
	};
	return {
		generation: hour + 1,
		models: [{
			id: modelId, service: 'pool', versions: [`${sixth + 1}`, `${sixth}`], defaultKind: 'booking', supportsForcedPrefix: true,
		}],
		adapters: [],
		accounts: Array.from({length: accountCount}, (_, slot) => ({
			id: `club-${slot}-${Math.floor((hour + slot) / accountCount)}`,
			keyHashes: [],
			share: 1,
			limits: {requestsPerSecond: 1, burst: 20, tokensPerSecond: 100_000},
			allowed: [],
		})),
		kinds: [{
			id: 'booking', weight: 1, priority: 1, deadlineMs: 1000, repeatable: true,
		}],
		services: [
			{
				...service, id: 'pool', type: core.model.ServiceType.Engine, models: [modelId],
			},
			{...service, id: `service-${sixth}`, type: core.model.ServiceType.Plain},
		],
		endpoints: [
			...Array.from({length: engineCount}, (_, slot) => ({...endpoint, id: `engine-${slot}-${Math.floor((hour + slot) / engineCount)}`, service: 'pool'})),
			...Array.from({length: runnerCount}, (_, slot) => ({...endpoint, id: `runner-${slot}-${sixth}`, service: `service-${sixth}`})),
		],
		recalled: [],
	};
}
