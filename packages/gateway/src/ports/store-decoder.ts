import type * as core from '@bluebellmast/core';
import type * as clients from '@bluebellmast/kv';

/** What a store entry of the operator or of an endpoint says. */
export enum StoreEntryType {
	Config = 'config',
	/** Newest named version of a model's weights. */
	WeightTarget = 'weight_target',
	Endpoint = 'endpoint',
	/** An entry that is none of these. */
	Other = 'other',
	/** An entry under a known key that can't be read. */
	Invalid = 'invalid',
}

/** A decoded store entry. */
export type DecodedStoreEntry =
	| {readonly type: StoreEntryType.Config; readonly config: core.routing.GatewayConfig}
	| {readonly type: StoreEntryType.WeightTarget; readonly model: string; readonly version: number}
	| {readonly type: StoreEntryType.Endpoint; readonly entry: core.fleet.EndpointEntry}
	| {readonly type: StoreEntryType.Other}
	| {readonly type: StoreEntryType.Invalid; readonly findings: readonly string[]};

/** Where the operator and the endpoints write. */
export type StorePrefixes = {
	/** Configuration and weight targets. */
	readonly operator: string;
	/** One entry for each endpoint, named by its id. */
	readonly endpoints: string;
};

/** Decodes entries that others write to the store. */
export interface StoreDecoder { // eslint-disable-line @typescript-eslint/consistent-type-definitions
	readonly prefixes: StorePrefixes;
	decode(entry: clients.kv.KvEntry): DecodedStoreEntry;
	/** Returns the id of the endpoint whose entry has a key, or `undefined` for other keys. */
	endpointIdOf(key: string): string | undefined;
}
