import type * as engineRole from './engine-role.js';
import type * as ids from './ids.js';

/** An endpoint as the manifest describes it. */
export type Endpoint = {
	readonly id: ids.EndpointId;
	readonly service: ids.ServiceId;
	/** IP number. */
	readonly host: string;
	readonly port: number;
	readonly dataCentre: ids.DataCentreId;
	/** For engines: whether orders with an old fencing number are refused. */
	readonly checksFencing: boolean;
	/** For engines. */
	readonly role: engineRole.EngineRole;
	/** Requests that the endpoint works on at once without queueing. */
	readonly capacity: number;
	/** Set when the endpoint is to get no new work. */
	readonly leaving: boolean;
};
