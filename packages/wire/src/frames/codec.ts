import * as cbor from 'cbor-x';

const codec = new cbor.Encoder({
	useRecords: false,
	mapsAsObjects: true,
	tagUint8Array: false,
	variableMapSize: true,
});

/** Encodes a value as one CBOR item. */
export function encode(value: unknown): Uint8Array {
	return codec.encode(value);
}

/**
 * Decodes one CBOR item.
 *
 * @throws Error when the bytes are not exactly one item.
 */
export function decode(bytes: Uint8Array): unknown {
	return codec.decode(bytes);
}
