/** An escaped unreserved character, or an escaped slash or backslash: the same path has another spelling. */
const redundantEscape = /%(?:2d|2e|2f|5c|5f|7e|3\d|4[1-9a-f]|5[\da]|6[1-9a-f]|7[\da])/i;
const malformedEscape = /%(?![\da-f]{2})/i;

/**
 * Returns whether a path has only one spelling: no dot segments, empty segments, backslashes or needless escapes. Rules
 * that go by a path's beginning hold for such paths alone.
 */
export function isNormalizedPath(path: string): boolean {
	const segments = path.split('/').slice(1);
	const hasOddSegment = segments.some((segment, index) =>
		segment === '.' || segment === '..' || (segment === '' && index < segments.length - 1));
	return !hasOddSegment && !path.includes('\\') && !redundantEscape.test(path) && !malformedEscape.test(path);
}
