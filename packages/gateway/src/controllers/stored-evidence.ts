import * as buffer from 'node:buffer';
import type * as core from '@bluebellmast/core';
import * as digestCodec from '../peers/digest-codec.js';

/** Evidence on quarantined parts as the store holds it. */
export type StoredEvidence = {
	/** Quarantined parts in alphabetical order, with spaces between them; parts may hold spaces themselves. */
	readonly parts: string;
	/** When each of them was first stored as quarantined, in milliseconds since the Unix epoch; empty if an older build wrote the entry. */
	readonly since: Readonly<Record<string, number>>;
	/** Time from which the ages of the evidence count, in milliseconds since the Unix epoch. */
	readonly writtenAt: number;
	readonly evidence: core.quarantine.QuarantineDigest | undefined;
};

type StoredJson = digestCodec.EncodedEvidence & {
	readonly parts: string;
	/** Absent if an older build wrote the entry. */
	readonly since?: Readonly<Record<string, unknown>>;
	readonly writtenAt: number;
};

/** Encodes the evidence as the value of its key. */
export function encodeStoredEvidence(stored: StoredEvidence): Uint8Array {
	const {evidence, ...fields} = stored;
	const json: StoredJson = {...fields, ...(evidence && digestCodec.encodeEvidence(evidence))};
	return buffer.Buffer.from(JSON.stringify(json));
}

/** Decodes the evidence; returns `undefined` for anything else, such as the value of another version of the gateway. */
export function decodeStoredEvidence(value: Uint8Array): StoredEvidence | undefined {
	try {
		const json = JSON.parse(buffer.Buffer.from(value).toString()) as StoredJson;
		const since = Object.entries(json.since ?? {}).filter((entry): entry is [string, number] => typeof entry[1] === 'number');
		return typeof json.writtenAt === 'number' && typeof json.parts === 'string'
			? {
				parts: json.parts, since: Object.fromEntries(since), writtenAt: json.writtenAt, evidence: digestCodec.decodeEvidence(json),
			}
			: undefined;
	} catch {
		// Not JSON; it is overwritten when a part is quarantined.
		return undefined;
	}
}
