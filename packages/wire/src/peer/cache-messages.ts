import type * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Keys of the hot (frequently requested) prompt pieces in the cache of one engine incarnation. */
export type EngineCacheDigest = {
	readonly endpoint: core.model.EndpointId;
	readonly incarnation: core.model.Incarnation;
	/** Concatenated keys of 8 bytes each, as `packKeys` returns them. */
	readonly keys: Uint8Array;
};

/** Cached prompt pieces of the engines whose cache events the sender follows; replaces the sender's previous digest. */
export type CacheDigest = {
	readonly type: peerMessageType.PeerMessageType.CacheDigest;
	readonly engines: readonly EngineCacheDigest[];
};

const packedKeyBytes = 8;
const hexDigitsPerKey = 16;

/** Packs keys of 16 hex digits into 8 bytes each, big-endian. */
export function packKeys(keys: readonly string[]): Uint8Array {
	const packed = new Uint8Array(keys.length * packedKeyBytes);
	const view = new DataView(packed.buffer);
	for (const [index, key] of keys.entries()) {
		view.setBigUint64(index * packedKeyBytes, BigInt(`0x${key}`));
	}

	return packed;
}

/** Unpacks the result of `packKeys`; an incomplete last key is ignored. */
export function unpackKeys(packed: Uint8Array): string[] {
	const view = new DataView(packed.buffer, packed.byteOffset, packed.byteLength);
	const count = Math.floor(packed.byteLength / packedKeyBytes);
	return Array.from({length: count}, (_, index) => view.getBigUint64(index * packedKeyBytes).toString(16).padStart(hexDigitsPerKey, '0'));
}
