import * as cbor from 'cbor-x';

const codec = new cbor.Encoder({
	useRecords: false,
	mapsAsObjects: true,
	tagUint8Array: false,
	variableMapSize: true,
});

/** Encodes a value as one CBOR data item. */
export function encode(value: unknown): Uint8Array {
	return codec.encode(value);
}

/**
 * Decodes one CBOR data item.
 *
 * @throws Error when the bytes are not exactly one well-formed item.
 */
export function decode(bytes: Uint8Array): unknown {
	return codec.decode(bytes);
}
