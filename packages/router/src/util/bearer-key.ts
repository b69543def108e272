import * as buffer from 'node:buffer';
import * as crypto from 'node:crypto';

const bearerPattern = /^Bearer (\S+)$/;

/** Returns the SHA-256 of the bearer key in an `authorization` header, or `undefined` if there is none. */
export function hashBearerKey(authorization: string | undefined): Uint8Array | undefined {
	const key = bearerPattern.exec(authorization ?? '')?.[1];
	return key === undefined ? undefined : crypto.createHash('sha256').update(key).digest();
}

/**
 * Compares the hash of a key with an expected hash in constant time.
 *
 * @param expectedHash - SHA-256 in lower-case hex.
 */
export function equalsKeyHash(hash: Uint8Array, expectedHash: string): boolean {
	const expectedBytes = buffer.Buffer.from(expectedHash, 'hex');
	return expectedBytes.length === hash.length && crypto.timingSafeEqual(expectedBytes, hash);
}
