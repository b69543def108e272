import type * as batch from './batch.js';
import type * as clientAccount from './client-account.js';
import type * as endpoint from './endpoint.js';
import type * as ids from './ids.js';
import type * as requestKind from './request-kind.js';
import type * as service from './service.js';

/** A model with its versions. */
export type Model = {
	readonly id: ids.ModelId;
	/** Pool that serves the model. */
	readonly service: ids.ServiceId;
	/** Allowed versions in order of preference; engines are rolled out to the first that is not recalled. */
	readonly versions: readonly ids.VersionId[];
	/** Request kind of a request that does not name one. */
	readonly defaultKind: string;
	/** Whether engines can continue a given beginning of the response text (forced prefix). */
	readonly supportsForcedPrefix: boolean;
};

/** An adapter with its versions in order of preference. */
export type Adapter = {
	readonly id: ids.AdapterId;
	readonly model: ids.ModelId;
	readonly versions: readonly ids.VersionId[];
};

/** Configuration of all routers at one generation. */
export type Manifest = {
	readonly generation: ids.Generation;
	readonly models: readonly Model[];
	readonly adapters: readonly Adapter[];
	readonly accounts: readonly clientAccount.ClientAccount[];
	readonly kinds: readonly requestKind.RequestKind[];
	readonly services: readonly service.Service[];
	readonly endpoints: readonly endpoint.Endpoint[];
	/** Keys of the recalled batches. Only an explicit reinstatement removes one. */
	readonly recalled: readonly batch.BatchKey[];
};
