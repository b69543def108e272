import type * as core from '@bluebellmast/core';
import * as cbor from 'cbor-x';

/** Rows of a digest as they travel: endpoint, active requests, prefill tokens, milliseconds since it was heard. */
type DigestRow = readonly [string, number, number, number | undefined];

type DigestMessage = readonly [vm: string, sequence: number, rows: readonly DigestRow[]];

/** Encodes a digest as one datagram. */
export function encodeDigest(digest: core.fleet.LoadDigest): Uint8Array {
	const message: DigestMessage = [
		digest.vm,
		digest.sequence,
		digest.endpoints.map(entry => [entry.endpoint, entry.active, entry.prefillTokens, entry.heardAgoMs]),
	];
	return cbor.encode(message);
}

/** Decodes a datagram; `undefined` where it is no digest. */
export function decodeDigest(bytes: Uint8Array): core.fleet.LoadDigest | undefined {
	try {
		const message = cbor.decode(bytes) as DigestMessage;
		return isDigest(message)
			? {
				vm: message[0],
				sequence: message[1],
				endpoints: message[2].map(([endpoint, active, prefillTokens, heardAgoMs]) => ({
					endpoint, active, prefillTokens, heardAgoMs,
				})),
			}
			: undefined;
	} catch {
		// Not CBOR: another program's datagram, or a cut one.
		return undefined;
	}
}

function isDigest(message: unknown): message is DigestMessage {
	if (!Array.isArray(message) || typeof message[0] !== 'string' || typeof message[1] !== 'number') {
		return false;
	}

	const rows: unknown = message[2];
	return Array.isArray(rows) && rows.every(row => Array.isArray(row)
		&& typeof row[0] === 'string' && typeof row[1] === 'number' && typeof row[2] === 'number');
}
