/** An escaped unreserved character, slash or backslash; the path has an equivalent form without the escape. */
const redundantEscape = /%(?:2d|2e|2f|5c|5f|7e|3\d|4[1-9a-f]|5[\da]|6[1-9a-f]|7[\da])/i;
const malformedEscape = /%(?![\da-f]{2})/i;

/**
 * Returns whether a path is normalized: without dot segments, empty segments, backslashes, and redundant or malformed escapes.
 * Rules that match a path prefix are reliable only for such paths, since other paths may be equivalent to one that matches.
 */
export function isNormalizedPath(path: string): boolean {
	const segments = path.split('/').slice(1);
	const hasDotOrEmptySegment = segments.some((segment, index) =>
		segment === '.' || segment === '..' || (segment === '' && index < segments.length - 1));
	return !hasDotOrEmptySegment && !path.includes('\\') && !redundantEscape.test(path) && !malformedEscape.test(path);
}
