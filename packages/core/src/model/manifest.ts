import type * as batch from './batch.js';
import type * as clientAccount from './client-account.js';
import type * as endpoint from './endpoint.js';
import type * as ids from './ids.js';
import type * as requestKind from './request-kind.js';
import type * as service from './service.js';

/** A model with its versions in order of preference; the first is the one to roll forward to. */
export type Model = {
	readonly id: ids.ModelId;
	/** Pool that serves the model. */
	readonly service: ids.ServiceId;
	/** Allowed versions, preferred first. */
	readonly versions: readonly ids.VersionId[];
	/** Kind of a request that names none. */
	readonly defaultKind: string;
	/** Whether engines can continue a given answer text (forced prefix). */
	readonly supportsForcedPrefix: boolean;
};

/** An adapter with its versions in order of preference. */
export type Adapter = {
	readonly id: ids.AdapterId;
	readonly model: ids.ModelId;
	readonly versions: readonly ids.VersionId[];
};

/** The configuration that is in force everywhere at one generation. */
export type Manifest = {
	readonly generation: ids.Generation;
	readonly models: readonly Model[];
	readonly adapters: readonly Adapter[];
	readonly accounts: readonly clientAccount.ClientAccount[];
	readonly kinds: readonly requestKind.RequestKind[];
	readonly services: readonly service.Service[];
	readonly endpoints: readonly endpoint.Endpoint[];
	/** Text forms of recalled batches; grows but for an explicit reinstatement. */
	readonly recalled: readonly batch.BatchKey[];
};
