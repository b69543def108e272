/** Bytes of the big-endian length in front of each body. */
export const lengthPrefixBytes = 4;

/** Largest body of a frame unless the caller sets another. */
export const defaultMaxFrameBodyBytes = 4 * 1024 * 1024;
