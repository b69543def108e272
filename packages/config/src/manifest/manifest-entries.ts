import type * as zod from 'zod';
import type * as manifestContent from './manifest-content.js';
import * as manifestSchema from './manifest-schema.js';

type EntrySchemas = typeof manifestSchema.entrySchemas;

/** An entry that fits its schema but for unknown keys, with its index in the file. */
export type Entry<Name extends manifestContent.ListName> = {
	readonly index: number;
	readonly value: zod.output<EntrySchemas[Name]>;
};

/**
 * The entries of a manifest file that fit their schemas but for unknown keys, and the ids of all entries, so that references can be
 * checked although other entries have findings.
 */
export type ManifestEntries = {
	readonly valid: {readonly [Name in manifestContent.ListName]: ReadonlyArray<Entry<Name>>};
	readonly ids: Readonly<Record<manifestContent.ListName, readonly EntryId[]>>;
};

/** Id of an entry that may have findings otherwise. */
export type EntryId = {
	readonly index: number;
	readonly id: string;
};

/** Picks the entries out of a file's plain value. */
export function validEntries(value: unknown): ManifestEntries {
	const lists = {
		models: listOf(value, 'models'),
		adapters: listOf(value, 'adapters'),
		accounts: listOf(value, 'accounts'),
		kinds: listOf(value, 'kinds'),
		services: listOf(value, 'services'),
		endpoints: listOf(value, 'endpoints'),
	};
	return {
		valid: {
			models: pickValid('models', lists.models),
			adapters: pickValid('adapters', lists.adapters),
			accounts: pickValid('accounts', lists.accounts),
			kinds: pickValid('kinds', lists.kinds),
			services: pickValid('services', lists.services),
			endpoints: pickValid('endpoints', lists.endpoints),
		},
		ids: {
			models: pickIds(lists.models),
			adapters: pickIds(lists.adapters),
			accounts: pickIds(lists.accounts),
			kinds: pickIds(lists.kinds),
			services: pickIds(lists.services),
			endpoints: pickIds(lists.endpoints),
		},
	};
}

function listOf(value: unknown, name: manifestContent.ListName): readonly unknown[] {
	const list = isRecord(value) ? value[name] : undefined;
	return Array.isArray(list) ? list : [];
}

function pickValid<Name extends manifestContent.ListName>(name: Name, list: readonly unknown[]): Array<Entry<Name>> {
	const schema = manifestSchema.entrySchemas[name].strip();
	return list.flatMap((item, index) => {
		const result = schema.safeParse(item);
		return result.success ? [{index, value: result.data as zod.output<EntrySchemas[Name]>}] : [];
	});
}

function pickIds(list: readonly unknown[]): EntryId[] {
	return list.flatMap((item, index) => isRecord(item) && typeof item.id === 'string' ? [{index, id: item.id}] : []);
}

function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null;
}
