/**
 * Bytes that may arrive in addition to the body of a response: heads, with interim responses, and what is read ahead. HTTP parsers bound headers, but read a
 * status line and the extension of a chunk's size without end.
 */
export const maxResponseOverheadBytes = 262_144;
/** Bytes that frame a byte of the body at most: a chunk for each byte, with a short extension. */
const framingFactor = 32;

/**
 * Whether far more of a response has arrived than its head, its body and their framing take, so that no end of it is to be expected.
 *
 * @param readBytes - Bytes that were read since the request.
 * @param bodyBytes - Bytes of the body among them.
 */
export function isEndlessResponse(readBytes: number, bodyBytes: number): boolean {
	return readBytes - bodyBytes > maxResponseOverheadBytes + (framingFactor * bodyBytes);
}
