/** Encodes a plain value as JSON with sorted keys, so that equal values have the same encoding. */
export function encodeCanonicalJson(value: unknown): Uint8Array {
	return new TextEncoder().encode(JSON.stringify(value, sortKeys));
}

function sortKeys(_key: string, value: unknown): unknown {
	if (typeof value !== 'object' || value === null || Array.isArray(value)) {
		return value;
	}

	const entries = Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1);
	return Object.fromEntries(entries);
}
