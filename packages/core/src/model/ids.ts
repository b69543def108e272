/** Name of a client account, from the manifest. */
export type AccountId = string;

/** Name of a model, from the manifest. */
export type ModelId = string;

/** Name of an adapter, from the manifest. */
export type AdapterId = string;

/** Version of a model or adapter. Versions are compared for equality only. */
export type VersionId = string;

/** Name of a service (a pool of endpoints), from the manifest. */
export type ServiceId = string;

/** Name of an endpoint (an engine or one instance of a plain service), from the manifest. */
export type EndpointId = string;

/** Name of a VM, from its settings. */
export type VmId = string;

/** Name of a data centre. */
export type DataCentreId = string;

/** Unique ID of one run of a process, generated at its start; distinguishes a restart from a reconnection. */
export type Incarnation = string;

/** ID of a caller's request. */
export type RequestId = string;

/** ID of one attempt of a request at one endpoint. */
export type AttemptId = string;

/** Number of an accepted manifest; increases by one with each accepted change. */
export type Generation = number;
