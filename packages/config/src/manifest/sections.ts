import * as crypto from 'node:crypto';
import type * as core from '@bluebellmast/core';
import * as canonicalJson from './canonical-json.js';
import * as manifestContent from './manifest-content.js';

/** Size limit of a section; the key-value service accepts values of up to a megabyte. */
export const maxSectionBytes = 256 * 1024;

/** An encoded part of a manifest's content, as it is stored and sent. */
export type Section = core.manifest.SectionReference & {
	/** A list of entries in canonical JSON. */
	readonly bytes: Uint8Array;
};

/** Returns the SHA-256 hash of a section's bytes in lower-case hex. */
export function hashSection(bytes: Uint8Array): string {
	return crypto.createHash('sha256').update(bytes).digest('hex');
}

/** Encodes content as sections, deterministically; a list that exceeds the size limit is split. */
export function encodeSections(content: manifestContent.ManifestContent): Section[] {
	return manifestContent.manifestListNames.flatMap(name => splitList(content[name]).map((bytes, index) => ({
		name: `${name}/${index}`,
		hash: hashSection(bytes),
		bytes,
	})));
}

/** Splits a list into encoded parts; brackets and commas count towards the size limit. */
function splitList(list: readonly unknown[]): Uint8Array[] {
	const parts: unknown[][] = [];
	let size = 0;
	for (const item of list) {
		const itemSize = canonicalJson.encodeCanonicalJson(item).length + 1;
		if (parts.length === 0 || size + itemSize > maxSectionBytes) {
			parts.push([]);
			size = 2;
		}

		parts.at(-1)!.push(item);
		size += itemSize;
	}

	return parts.map(part => canonicalJson.encodeCanonicalJson(part));
}

/**
 * Decodes a manifest from its head and sections.
 *
 * @param sections - The bytes of the sections by hash.
 * @returns The manifest, or `undefined` if a section is missing, does not match its hash, is not a list or has an unknown name.
 */
export function assembleManifest(
	head: core.manifest.ManifestHead,
	sections: ReadonlyMap<string, Uint8Array>,
): core.model.Manifest | undefined {
	const lists: Record<manifestContent.ManifestListName, unknown[]> = {
		models: [], adapters: [], accounts: [], kinds: [], services: [], endpoints: [],
	};
	for (const {name, hash} of head.sections) {
		const list = decodeSection(hash, sections.get(hash));
		const listName = manifestContent.manifestListNames.find(known => name.startsWith(`${known}/`));
		if (list === undefined || listName === undefined) {
			return undefined;
		}

		lists[listName].push(...list);
	}

	const content = lists as unknown as manifestContent.ManifestContent;
	return {generation: head.generation, ...content, recalled: head.recalled};
}

function decodeSection(hash: string, bytes: Uint8Array | undefined): readonly unknown[] | undefined {
	if (bytes === undefined || hashSection(bytes) !== hash) {
		return undefined;
	}

	const value: unknown = JSON.parse(new TextDecoder().decode(bytes));
	return Array.isArray(value) ? value : undefined;
}
