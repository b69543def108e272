/* eslint-disable @typescript-eslint/naming-convention -- Field names of the protocol. */
import type * as revisionStore from './revision-store.js';

/** JSON object in a request; the gateway accepts field names in snake_case and camelCase. */
export type KvBody = Readonly<Record<string, unknown>>;

function toCamelCase(name: string): string {
	return name.replaceAll(/_(\w)/g, (_, letter: string) => letter.toUpperCase());
}

/** Returns a field by its snake_case name, whichever spelling the request uses. */
export function fieldOf(body: KvBody, name: string): unknown {
	return body[name] ?? body[toCamelCase(name)];
}

/** Returns a field as an object. */
export function objectOf(body: KvBody, name: string): KvBody | undefined {
	return fieldOf(body, name) as KvBody | undefined;
}

/** Returns a field as a string; numbers are converted. */
export function textOf(body: KvBody, name: string): string | undefined {
	const value = fieldOf(body, name);
	return typeof value === 'string' || typeof value === 'number' ? String(value) : undefined;
}

/** Returns a field as a number; 0 when it is absent. */
export function numberOf(body: KvBody, name: string): number {
	return Number(fieldOf(body, name) ?? 0);
}

/** Returns a field as a list of objects; empty when it is absent. */
export function listOf(body: KvBody, name: string): readonly KvBody[] {
	return (fieldOf(body, name) ?? []) as readonly KvBody[];
}

/** Returns the key range of a request. */
export function rangeOf(body: KvBody): revisionStore.KeyRange {
	const end = textOf(body, 'range_end');
	return {key: textOf(body, 'key') ?? '', ...(end !== undefined && end !== '' && {end})};
}

/** Returns a stored pair in the JSON form of the protocol. */
export function pairJson(pair: revisionStore.StoredPair): unknown {
	return {
		key: pair.key,
		create_revision: String(pair.createRevision),
		mod_revision: String(pair.modRevision),
		version: String(pair.version),
		value: pair.value,
		...(pair.lease !== '0' && {lease: pair.lease}),
	};
}
