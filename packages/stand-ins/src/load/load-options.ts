/** A client account as the load tool knows it. */
export type LoadAccount = {
	readonly id: string;
	/** Bearer key. */
	readonly key: string;
};

/** Options of a run. */
export type LoadOptions = {
	/** Base URLs of the routers. */
	readonly targets: readonly string[];
	/** The first accounts get most of the requests. */
	readonly accounts: readonly LoadAccount[];
	/** Model name, or `model:adapter`. */
	readonly model: string;
	/** Plain service that takes bookings; absent: no bookings. */
	readonly bookingService?: string;
	/** Seed of arrivals and choices; default 1. */
	readonly seed?: number;
	/** Milliseconds over which requests arrive; default 10,000. */
	readonly durationMs?: number;
	/** Requests at most; default 100,000. */
	readonly maxRequests?: number;
	/** Requests under way at most; beyond it an arrival is counted as not sent; default 2,000. */
	readonly maxInFlight?: number;
	/** Arrivals a second; default 20. */
	readonly requestsPerSecond?: number;
	/** Share of bookings among the arrivals; default 0.2. */
	readonly bookingShare?: number;
	/** Share of questions that ask for a stream; default 0.9. */
	readonly streamShare?: number;
	/** Times that a booking is sent again with the same key when its answer is lost, unknown or not run; default 0. */
	readonly bookingRepeats?: number;
	/** Tokens of an answer at most; default 32. */
	readonly maxTokens?: number;
	/** Milliseconds that each request is given; default 20,000. */
	readonly deadlineMs?: number;
	/** Handbooks or ration plans; default 8. */
	readonly plans?: number;
	/** Pieces of each plan; default 3. */
	readonly planPieces?: number;
	/** Sites or farms below each plan, of one piece each; default 6. */
	readonly sites?: number;
	/** Tokens of a piece; default 2,000. */
	readonly pieceTokens?: number;
	/** Characters of text for each token; default 4. */
	readonly charsPerToken?: number;
	/** Milliseconds after which the hot plans change; default 10,000. */
	readonly hotSpotShiftMs?: number;
};

/** Options with their defaults filled in. */
export type LoadSettings = Required<Omit<LoadOptions, 'bookingService'>> & Pick<LoadOptions, 'bookingService'>;

const defaults: Omit<LoadSettings, 'targets' | 'accounts' | 'model' | 'bookingService'> = {
	seed: 1,
	durationMs: 10_000,
	maxRequests: 100_000,
	maxInFlight: 2000,
	requestsPerSecond: 20,
	bookingShare: 0.2,
	streamShare: 0.9,
	bookingRepeats: 0,
	maxTokens: 32,
	deadlineMs: 20_000,
	plans: 8,
	planPieces: 3,
	sites: 6,
	pieceTokens: 2000,
	charsPerToken: 4,
	hotSpotShiftMs: 10_000,
};

/** Fills in the defaults; options that are `undefined` count as absent. */
export function fillDefaults(options: LoadOptions): LoadSettings {
	const given = Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined));
	return {...defaults, ...given as LoadOptions};
}
