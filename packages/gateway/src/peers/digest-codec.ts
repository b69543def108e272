import type * as buffer from 'node:buffer';
import type * as core from '@bluebellmast/core';
import * as cbor from 'cbor-x';

/** Encoded state of an endpoint: id, active requests, prefill tokens, milliseconds since data was last received from it. */
type EndpointRow = readonly [string, number, number, number | undefined];

/** Encoded cache observation: type, prompt part with its cache namespace, endpoint. */
type ObservationRow = readonly [core.fleet.CacheObservationType, string, string];

/** Encoded incarnation of an endpoint: id, start time. */
type IncarnationRow = readonly [string, number];

/** Fields that were added to digests; versions that do not know one ignore it. */
type DigestExtensions = {
	readonly leaving?: readonly IncarnationRow[];
};

type DigestMessage = readonly [
	vm: string, sequence: number, endpoints: readonly EndpointRow[], observations: readonly ObservationRow[], extensions?: DigestExtensions,
];

/** Encodes a digest as one datagram. */
export function encodeDigest(digest: core.fleet.LoadDigest): buffer.Buffer {
	const leaving = digest.leavingEndpoints ?? [];
	const message: DigestMessage = [
		digest.vm,
		digest.sequence,
		digest.endpoints.map(entry => [entry.endpoint, entry.active, entry.prefillTokens, entry.sinceLastReceivedMs]),
		digest.cacheObservations.map(observation => [observation.type, observation.key, observation.endpoint]),
	];
	const extensions: DigestExtensions = {leaving: leaving.map(({id, bornAt}) => [id, bornAt])};
	return cbor.encode(leaving.length > 0 ? [...message, extensions] : message);
}

/** Decodes a datagram; returns `undefined` if it is not a digest. */
export function decodeDigest(bytes: Uint8Array): core.fleet.LoadDigest | undefined {
	let message: unknown;
	try {
		message = cbor.decode(bytes);
	} catch {
		// Not CBOR: a truncated datagram, or one of another program.
		return undefined;
	}

	return isDigest(message) ? toDigest(message) : undefined;
}

function toDigest([vm, sequence, endpoints, observations, extensions]: DigestMessage): core.fleet.LoadDigest {
	const leaving = isRows(extensions?.leaving, ['string', 'number']) ? extensions!.leaving! : [];
	return {
		vm,
		sequence,
		endpoints: endpoints.map(([endpoint, active, prefillTokens, sinceLastReceivedMs]) => ({
			endpoint, active, prefillTokens, sinceLastReceivedMs: sinceLastReceivedMs ?? undefined,
		})),
		cacheObservations: observations.map(([type, key, endpoint]) => ({type, key, endpoint})),
		...(leaving.length > 0 && {leavingEndpoints: leaving.map(([id, bornAt]) => ({id, bornAt}))}),
	};
}

function isDigest(message: unknown): message is DigestMessage {
	if (!Array.isArray(message) || typeof message[0] !== 'string' || typeof message[1] !== 'number') {
		return false;
	}

	return isRows(message[2], ['string', 'number', 'number']) && isRows(message[3], ['string', 'string', 'string']);
}

/** Returns whether a value is an array of rows whose first elements have the given types. */
function isRows(value: unknown, types: readonly string[]): boolean {
	return Array.isArray(value) && value.every(row =>
		Array.isArray(row) && types.every((type, index) => typeof row[index] === type));
}
