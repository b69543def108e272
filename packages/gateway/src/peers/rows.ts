/** Returns whether a value is an array of rows whose first elements have the given types. */
export function isRows(value: unknown, types: readonly string[]): boolean {
	return Array.isArray(value) && value.every(row =>
		Array.isArray(row) && types.every((type, index) => typeof row[index] === type));
}
