import type * as core from '@bluebellmast/core';
import * as purify from 'purify-ts';
import * as zod from 'zod';
import * as canonicalJson from './canonical-json.js';

/** Key of the head in the key-value service. */
export const headKey = 'manifest/head';

const generation = zod.int().min(1);
const headSchema = zod.object({
	generation,
	changeId: zod.string().min(1),
	madeFrom: zod.int().min(0),
	sections: zod.array(zod.object({name: zod.string(), hash: zod.string()})),
	recalled: zod.array(zod.string()),
	recentChanges: zod.array(zod.object({generation, changeId: zod.string()})),
});

/** Key of a section in the key-value service. */
export function sectionKey(hash: string): string {
	return `manifest/section/${hash}`;
}

/** Encodes a head as canonical JSON. */
export function encodeHead(head: core.manifest.ManifestHead): Uint8Array {
	return canonicalJson.encodeCanonicalJson(head);
}

/** Decodes a head; returns an error message if the bytes are not a valid head. */
export function decodeHead(bytes: Uint8Array): purify.Either<string, core.manifest.ManifestHead> {
	return purify.Either.encase(() => JSON.parse(new TextDecoder().decode(bytes)) as unknown)
		.mapLeft(err => `the manifest head is not valid JSON: ${err.message}`)
		.chain(parseHead);
}

function parseHead(value: unknown): purify.Either<string, core.manifest.ManifestHead> {
	const result = headSchema.safeParse(value);
	return result.success ? purify.Right(result.data) : purify.Left(`the manifest head is malformed: ${result.error.message}`);
}
