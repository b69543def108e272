import type * as engineRole from './engine-role.js';
import type * as ids from './ids.js';

/** An endpoint as the manifest describes it. */
export type Endpoint = {
	readonly id: ids.EndpointId;
	readonly service: ids.ServiceId;
	/** IP address. */
	readonly host: string;
	readonly port: number;
	readonly dataCentre: ids.DataCentreId;
	/** For engines: whether the engine refuses orders with an outdated fencing token. */
	readonly checksFencing: boolean;
	/** For engines: the part of the work that the engine takes. */
	readonly role: engineRole.EngineRole;
	/** Number of requests that the endpoint processes concurrently without queueing. */
	readonly capacity: number;
	/** Whether the endpoint is to get no new requests. */
	readonly leaving: boolean;
};
