import type * as buffer from 'node:buffer';
import type * as core from '@bluebellmast/core';
import * as cbor from 'cbor-x';
import * as rows from './rows.js';

/** First element of an update; messages on quotas have other numbers, digests a text. */
const updateType = 3;

/** Encoded update: type, VM, sequence, endpoint, active requests, prefill tokens, milliseconds since data was last received (negative if never), observations by type and key. */
type UpdateMessage = readonly [
	type: typeof updateType,
	vm: string,
	sequence: number,
	endpoint: string,
	active: number,
	prefillTokens: number,
	sinceLastReceivedMs: number,
	observations: ReadonlyArray<readonly [core.fleet.CacheObservationType, string]>,
];

const neverMs = -1;

/** Encodes an update of one endpoint as one datagram. */
export function encodeUpdate({vm, sequence, load, cacheObservations}: core.fleet.LoadUpdate): buffer.Buffer {
	const message: UpdateMessage = [
		updateType, vm, sequence, load.endpoint, load.active, load.prefillTokens, load.sinceLastReceivedMs ?? neverMs, cacheObservations.map(({type, key}) => [type, key]),
	];
	return cbor.encode(message);
}

/** Converts a decoded datagram; returns `undefined` if it is no update. */
export function toUpdate(message: unknown): core.fleet.LoadUpdate | undefined {
	if (!isUpdate(message)) {
		return undefined;
	}

	const [_type, vm, sequence, endpoint, active, prefillTokens, sinceMs, observations] = message;
	return {
		vm,
		sequence,
		load: {
			endpoint, active, prefillTokens, sinceLastReceivedMs: sinceMs < 0 ? undefined : sinceMs,
		},
		cacheObservations: observations.map(([type, key]) => ({type, key, endpoint})),
	};
}

function isUpdate(message: unknown): message is UpdateMessage {
	return Array.isArray(message) && message[0] === updateType && rows.isRows([message], ['number', 'string', 'number', 'string', 'number', 'number', 'number'])
		&& rows.isRows(message[7], ['string', 'string']);
}
