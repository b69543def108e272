/** Size in bytes of the big-endian length that precedes each body. */
export const lengthPrefixBytes = 4;

/** Default size limit of a frame body, without the length prefix. */
export const defaultMaxFrameBodyBytes = 4 * 1024 * 1024;
