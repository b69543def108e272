/** What is wrong with a frame. */
export enum FrameErrorCode {
	/** The body exceeds the limit. */
	TooLarge = 'too_large',
	/** The body is not one well-formed CBOR item. */
	Malformed = 'malformed',
	/** The body is not a map with a known message type. */
	UnknownType = 'unknown_type',
}

/** A frame that cannot be sent or was received and cannot be used. */
export type FrameError = {
	readonly code: FrameErrorCode;
	readonly message: string;
};
