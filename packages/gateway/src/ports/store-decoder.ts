import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';

/** Type of a store entry of the operator or of an endpoint. */
export enum StoreEntryType {
	Config = 'config',
	/** A named version of a model's weights, which engines should load. */
	WeightTarget = 'weight_target',
	Endpoint = 'endpoint',
	/** An entry of another type. */
	Other = 'other',
	/** An entry with a known key and an invalid value, except a configuration. */
	Invalid = 'invalid',
	/** A configuration with an invalid value. */
	UnreadableConfig = 'unreadable_config',
}

/** A decoded store entry. */
export type DecodedStoreEntry =
	| {readonly type: StoreEntryType.Config; readonly config: core.routing.GatewayConfig}
	| {readonly type: StoreEntryType.WeightTarget; readonly model: string; readonly version: number}
	| {readonly type: StoreEntryType.Endpoint; readonly entry: core.fleet.EndpointEntry}
	| {readonly type: StoreEntryType.Other}
	| {readonly type: StoreEntryType.Invalid; readonly findings: readonly string[]}
	| {readonly type: StoreEntryType.UnreadableConfig; readonly findings: readonly string[]; readonly config: core.routing.UnreadableConfig};

/** Key prefixes under which the operator and the endpoints write. */
export type StorePrefixes = {
	/** Configuration and weight targets. */
	readonly operator: string;
	/** One entry for each endpoint; its key ends with the id of the endpoint. */
	readonly endpoints: string;
};

/** Decodes the entries that the operator and the endpoints write to the store. */
export interface StoreDecoder { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	readonly prefixes: StorePrefixes;
	decode(entry: clients.kv.KvEntry): DecodedStoreEntry;
	/** Returns the id of the endpoint whose entry has the key, or `undefined` for other keys. */
	endpointIdOf(key: string): string | undefined;
}
