/** Why a frame cannot be encoded or decoded. */
export enum FrameErrorCode {
	/** The body exceeds the size limit. */
	TooLarge = 'too_large',
	/** The body is not one well-formed CBOR data item. */
	Malformed = 'malformed',
	/** The body is not a map with a known message type. */
	UnknownType = 'unknown_type',
}

/** An error in encoding or decoding a frame. */
export type FrameError = {
	readonly code: FrameErrorCode;
	readonly message: string;
};
