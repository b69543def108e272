import type * as core from '@bluebellmast/core';
import type * as peerMessageType from './peer-message-type.js';

/** Hot pieces that one engine incarnation holds. */
export type EngineCacheDigest = {
	readonly endpoint: core.model.EndpointId;
	readonly incarnation: core.model.Incarnation;
	/** Keys of 8 bytes each, one after the other. */
	readonly keys: Uint8Array;
};

/** Digest of the hot prefixes of the engines that the sender follows; replaces its digest before. */
export type CacheDigest = {
	readonly type: peerMessageType.PeerMessageType.CacheDigest;
	readonly engines: readonly EngineCacheDigest[];
};

const packedKeyBytes = 8;
const hexDigitsPerKey = 16;

/** Packs keys of 16 hex digits into 8 bytes each. */
export function packKeys(keys: readonly string[]): Uint8Array {
	const packed = new Uint8Array(keys.length * packedKeyBytes);
	const view = new DataView(packed.buffer);
	for (const [index, key] of keys.entries()) {
		view.setBigUint64(index * packedKeyBytes, BigInt(`0x${key}`));
	}

	return packed;
}

/** Unpacks what `packKeys` packed; an incomplete last key is left out. */
export function unpackKeys(packed: Uint8Array): string[] {
	const view = new DataView(packed.buffer, packed.byteOffset, packed.byteLength);
	const count = Math.floor(packed.byteLength / packedKeyBytes);
	return Array.from({length: count}, (_, index) => view.getBigUint64(index * packedKeyBytes).toString(16).padStart(hexDigitsPerKey, '0'));
}
