import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';

const bearerPattern = /^Bearer (\S+)$/;

/** Returns the SHA-256 of the bearer key in an `authorization` header, or `undefined` if there is none. */
export function hashBearerKey(authorization: string | undefined): Uint8Array | undefined {
	const key = bearerPattern.exec(authorization ?? '')?.[1];
	return key === undefined ? undefined : crypto.createHash('sha256').update(key).digest();
}

/**
 * Compares the hash of a key with a known hash in constant time.
 *
 * @param known - SHA-256 in lower-case hex.
 */
export function equalsKeyHash(hash: Uint8Array, known: string): boolean {
	const expected = buffer.Buffer.from(known, 'hex');
	return expected.length === hash.length && crypto.timingSafeEqual(expected, hash);
}
