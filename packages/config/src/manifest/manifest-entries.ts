import type * as zod from 'zod';
import type * as manifestContent from './manifest-content.js';
import * as manifestSchema from './manifest-schema.js';

type EntrySchemas = typeof manifestSchema.entrySchemas;

/** An entry that matches its schema, unknown keys aside, with its index in its list. */
export type Entry<Name extends manifestContent.ManifestListName> = {
	readonly index: number;
	readonly value: zod.output<EntrySchemas[Name]>;
};

/**
 * The entries of a manifest file that match their schemas, unknown keys aside, and the ids of all entries. References can
 * thus be checked even if other entries are invalid.
 */
export type ManifestEntries = {
	readonly valid: {readonly [Name in manifestContent.ManifestListName]: ReadonlyArray<Entry<Name>>};
	readonly ids: Readonly<Record<manifestContent.ManifestListName, readonly EntryId[]>>;
};

/** Id of an entry, which may be invalid otherwise, with its index in its list. */
export type EntryId = {
	readonly index: number;
	readonly id: string;
};

/** Collects the entries from the plain value of a manifest file. */
export function collectEntries(value: unknown): ManifestEntries {
	const lists = {
		models: readList(value, 'models'),
		adapters: readList(value, 'adapters'),
		accounts: readList(value, 'accounts'),
		kinds: readList(value, 'kinds'),
		services: readList(value, 'services'),
		endpoints: readList(value, 'endpoints'),
	};
	return {
		valid: {
			models: selectValid('models', lists.models),
			adapters: selectValid('adapters', lists.adapters),
			accounts: selectValid('accounts', lists.accounts),
			kinds: selectValid('kinds', lists.kinds),
			services: selectValid('services', lists.services),
			endpoints: selectValid('endpoints', lists.endpoints),
		},
		ids: {
			models: readIds(lists.models),
			adapters: readIds(lists.adapters),
			accounts: readIds(lists.accounts),
			kinds: readIds(lists.kinds),
			services: readIds(lists.services),
			endpoints: readIds(lists.endpoints),
		},
	};
}

function readList(value: unknown, name: manifestContent.ManifestListName): readonly unknown[] {
	const list = isRecord(value) ? value[name] : undefined;
	return Array.isArray(list) ? list : [];
}

function selectValid<Name extends manifestContent.ManifestListName>(name: Name, list: readonly unknown[]): Array<Entry<Name>> {
	const schema = manifestSchema.entrySchemas[name].strip();
	return list.flatMap((item, index) => {
		const result = schema.safeParse(item);
		return result.success ? [{index, value: result.data as zod.output<EntrySchemas[Name]>}] : [];
	});
}

function readIds(list: readonly unknown[]): EntryId[] {
	return list.flatMap((item, index) => isRecord(item) && typeof item.id === 'string' ? [{index, id: item.id}] : []);
}

function isRecord(value: unknown): value is Record<string, unknown> {
	return typeof value === 'object' && value !== null;
}
