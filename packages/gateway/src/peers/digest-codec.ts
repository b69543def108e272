import type * as buffer from 'node:buffer';
import type * as core from '@bluebellmast/core';
import * as cbor from 'cbor-x';
import * as rows from './rows.js';

/** Encoded state of an endpoint: id, active requests, prefill tokens, milliseconds since data was last received from it. */
type EndpointRow = readonly [string, number, number, number | undefined];

/** Encoded cache observation: type, prompt part with its cache namespace, endpoint. */
type ObservationRow = readonly [core.fleet.CacheObservationType, string, string];

/** Encoded pause: endpoint, start time of its incarnation in Unix milliseconds, milliseconds until the end. */
type PauseRow = readonly [string, number, number];

/** Encoded limit: endpoint, start time of its incarnation in Unix milliseconds, requests a second (0 if it has ended), age in milliseconds. */
type LimitRow = readonly [string, number, number, number];

/** Encoded reach: address for tunnels, data centre, and pools with the milliseconds since data last arrived from them. */
type ReachRow = readonly [string, string, ReadonlyArray<readonly [string, number]>];

/** Encoded incarnation of an endpoint: id, start time in Unix milliseconds. */
type IncarnationRow = readonly [string, number];

/** Encoded age of a version of weights: model, version, milliseconds since it was named. */
type VersionAgeRow = readonly [string, number, number];

/** Encoded interrupted request: endpoint, start time of its incarnation, age in milliseconds, whether its response had begun, key of the request, shared parts. */
type CrashRow = readonly [string, number, number, boolean, string, readonly string[]];

/** Encoded sound prompt part: key, age in milliseconds. */
type SoundRow = readonly [string, number];

/** Encoded survivor: endpoint, start time of its incarnation, ages of the connection and of the last response on it in milliseconds. */
type SurvivorRow = readonly [string, number, number, number];

/** Encoded evidence on prompt parts that end endpoints; absent lists are empty. */
export type EncodedEvidence = {
	readonly crashes?: readonly CrashRow[];
	readonly sound?: readonly SoundRow[];
	readonly alive?: readonly SurvivorRow[];
};

/** Parts of a digest that older builds do not know and ignore. */
type DigestExtension = EncodedEvidence & {
	readonly pauses?: readonly PauseRow[];
	readonly limits?: readonly LimitRow[];
	readonly leaving?: readonly IncarnationRow[];
	readonly reach?: ReachRow;
	readonly versions?: readonly VersionAgeRow[];
	readonly process?: number;
};

/** Address of a VM by its number: `IP:PORT`. */
const addressPattern = /^\d{1,3}(?:\.\d{1,3}){3}:\d{1,5}$/;
/** Longest key of a prompt part, and largest number of parts of a request, that are accepted. */
const maxPartKeyLength = 64;
const maxSharedParts = 32;

type DigestMessage = readonly [
	vm: string,
	sequence: number,
	endpoints: readonly EndpointRow[],
	observations: readonly ObservationRow[],
	extension?: DigestExtension,
];

/** Encodes a digest as one datagram. */
export function encodeDigest(digest: core.fleet.LoadDigest): buffer.Buffer {
	const pauses = (digest.pauses ?? []).map(({endpoint, bornAt, remainingMs}): PauseRow => [endpoint, bornAt, remainingMs]);
	const limits = (digest.limits ?? []).map(({endpoint, bornAt, requestsPerSecond, ageMs}): LimitRow => [endpoint, bornAt, requestsPerSecond, ageMs]);
	const leaving = (digest.leavingEndpoints ?? []).map(({id, bornAt}): IncarnationRow => [id, bornAt]);
	const versions = (digest.versionAges ?? []).map(({model, version, ageMs}): VersionAgeRow => [model, version, ageMs]);
	const state: DigestMessage = [
		digest.vm,
		digest.sequence,
		digest.endpoints.map(entry => [entry.endpoint, entry.active, entry.prefillTokens, entry.sinceLastReceivedMs]),
		digest.cacheObservations.map(observation => [observation.type, observation.key, observation.endpoint]),
	];
	const extension: DigestExtension = {
		...(pauses.length > 0 && {pauses}),
		...(limits.length > 0 && {limits}),
		...(leaving.length > 0 && {leaving}),
		...(digest.reach && {reach: encodeReach(digest.reach)}),
		...(versions.length > 0 && {versions}),
		...(digest.process !== undefined && {process: digest.process}),
		...(digest.quarantine && encodeEvidence(digest.quarantine)),
	};
	return cbor.encode(Object.keys(extension).length === 0 ? state : [...state, extension]);
}

/** Decodes a datagram; returns `undefined` if it is not a digest. */
export function decodeDigest(bytes: Uint8Array): core.fleet.LoadDigest | undefined {
	return toDigest(decodeDatagram(bytes));
}

/** Decodes the contents of a datagram; returns `undefined` if they can't be read. */
export function decodeDatagram(bytes: Uint8Array): unknown {
	try {
		return cbor.decode(bytes);
	} catch {
		// Not CBOR: a truncated datagram, or one of another program.
		return undefined;
	}
}

/** Converts a decoded datagram; returns `undefined` if it is not a digest. */
export function toDigest(message: unknown): core.fleet.LoadDigest | undefined {
	return isDigest(message) ? createDigest(message) : undefined;
}

function createDigest([vm, sequence, endpoints, observations, extension]: DigestMessage): core.fleet.LoadDigest {
	const pauses = toPauses(extension?.pauses);
	const limits = toLimits(extension?.limits);
	const leaving = rows.isRows(extension?.leaving, ['string', 'number']) ? extension!.leaving! : [];
	const reach = toReach(extension?.reach);
	const versionAges = toVersionAges(extension?.versions);
	const process = extension?.process;
	const quarantine = decodeEvidence(extension ?? {});
	return {
		vm,
		...(typeof process === 'number' && {process}),
		sequence,
		endpoints: endpoints.map(([endpoint, active, prefillTokens, sinceLastReceivedMs]) => ({
			endpoint, active, prefillTokens, sinceLastReceivedMs: sinceLastReceivedMs ?? undefined,
		})),
		cacheObservations: observations.map(([type, key, endpoint]) => ({type, key, endpoint})),
		...(pauses.length > 0 && {pauses}),
		...(limits.length > 0 && {limits}),
		...(leaving.length > 0 && {leavingEndpoints: leaving.map(([id, bornAt]) => ({id, bornAt}))}),
		...(reach && {reach}),
		...(versionAges.length > 0 && {versionAges}),
		...(quarantine && {quarantine}),
	};
}

/** Encodes the evidence on prompt parts. */
export function encodeEvidence({crashes, soundParts, survivors}: core.quarantine.QuarantineDigest): EncodedEvidence {
	return {
		...(crashes.length > 0 && {
			crashes: crashes.map(({endpoint, ageMs, hasBegun, requestKey, sharedParts}): CrashRow => [
				endpoint.id, endpoint.bornAt, ageMs, hasBegun, requestKey, sharedParts,
			]),
		}),
		...(soundParts.length > 0 && {sound: soundParts.map(({part, ageMs}): SoundRow => [part, ageMs])}),
		...(survivors.length > 0 && {alive: survivors.map(({endpoint, openedAgeMs, ageMs}): SurvivorRow => [endpoint.id, endpoint.bornAt, openedAgeMs, ageMs])}),
	};
}

/** Decodes the evidence on prompt parts; skips invalid rows. */
export function decodeEvidence({crashes, sound, alive}: EncodedEvidence): core.quarantine.QuarantineDigest | undefined {
	const crashRows = rows.isRows(crashes, ['string', 'number', 'number', 'boolean', 'string']) ? crashes!.filter(row => isCrashRow(row)) : [];
	const soundRows = rows.isRows(sound, ['string', 'number']) ? sound!.filter(([part, ageMs]) => isPartKey(part) && ageMs >= 0) : [];
	const aliveRows = rows.isRows(alive, ['string', 'number', 'number', 'number']) ? alive!.filter(row => row[2] >= row[3] && row[3] >= 0) : [];
	if (crashRows.length + soundRows.length + aliveRows.length === 0) {
		return undefined;
	}

	return {
		crashes: crashRows.map(([id, bornAt, ageMs, hasBegun, requestKey, sharedParts]) => ({
			endpoint: {id, bornAt}, ageMs, hasBegun, requestKey, sharedParts,
		})),
		soundParts: soundRows.map(([part, ageMs]) => ({part, ageMs})),
		survivors: aliveRows.map(([id, bornAt, openedAgeMs, ageMs]) => ({endpoint: {id, bornAt}, openedAgeMs, ageMs})),
	};
}

function isCrashRow([_endpoint, _bornAt, ageMs, _hasBegun, requestKey, sharedParts]: CrashRow): boolean {
	return ageMs >= 0 && isPartKey(requestKey) && Array.isArray(sharedParts) && sharedParts.length <= maxSharedParts
		&& sharedParts.every(part => isPartKey(part));
}

function isPartKey(part: unknown): boolean {
	return typeof part === 'string' && part.length > 0 && part.length <= maxPartKeyLength;
}

/** Decodes the pauses; skips invalid ones, since the rest of the digest is usable without them. */
function toPauses(list: unknown): core.fleet.PauseDigest[] {
	if (!rows.isRows(list, ['string', 'number', 'number'])) {
		return [];
	}

	return (list as readonly PauseRow[])
		.map(([endpoint, bornAt, remainingMs]) => ({endpoint, bornAt, remainingMs}))
		.filter(pause => pause.remainingMs > 0);
}

/** Decodes the limits; skips invalid ones. */
function toLimits(list: unknown): core.limits.LimitDigest[] {
	if (!rows.isRows(list, ['string', 'number', 'number', 'number'])) {
		return [];
	}

	return (list as readonly LimitRow[])
		.map(([endpoint, bornAt, requestsPerSecond, ageMs]) => ({
			endpoint, bornAt, requestsPerSecond, ageMs,
		}))
		.filter(({requestsPerSecond, ageMs}) => Number.isFinite(requestsPerSecond) && requestsPerSecond >= 0 && ageMs >= 0);
}

/** Decodes the ages of versions; skips invalid ones. */
function toVersionAges(list: unknown): core.rollout.VersionAge[] {
	if (!rows.isRows(list, ['string', 'number', 'number'])) {
		return [];
	}

	return (list as readonly VersionAgeRow[])
		.map(([model, version, ageMs]) => ({model, version, ageMs}))
		.filter(({version, ageMs}) => Number.isSafeInteger(version) && ageMs >= 0 && Number.isFinite(ageMs));
}

function encodeReach({tunnelAddress, dataCentre, pools}: core.fleet.ReachDigest): ReachRow {
	return [tunnelAddress, dataCentre, pools.map(({pool, ageMs}) => [pool, ageMs] as const)];
}

/** Decodes the reach; returns `undefined` if it is invalid. */
function toReach(row: unknown): core.fleet.ReachDigest | undefined {
	const [tunnelAddress, dataCentre, pools] = Array.isArray(row) ? row as unknown[] : [];
	if (typeof tunnelAddress !== 'string' || !addressPattern.test(tunnelAddress) || typeof dataCentre !== 'string' || !rows.isRows(pools, ['string', 'number'])) {
		return undefined;
	}

	const valid = (pools as ReachRow[2]).filter(([, ageMs]) => ageMs >= 0);
	return {tunnelAddress, dataCentre, pools: valid.map(([pool, ageMs]) => ({pool, ageMs}))};
}

function isDigest(message: unknown): message is DigestMessage {
	if (!Array.isArray(message) || typeof message[0] !== 'string' || typeof message[1] !== 'number') {
		return false;
	}

	return rows.isRows(message[2], ['string', 'number', 'number']) && rows.isRows(message[3], ['string', 'string', 'string']);
}
