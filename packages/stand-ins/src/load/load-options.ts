/** A client account that the load tool sends requests for. */
export type LoadAccount = {
	readonly id: string;
	/** Bearer key. */
	readonly key: string;
};

/** Options of a run. */
export type LoadOptions = {
	/** Base URLs of the routers. */
	readonly targets: readonly string[];
	/** Earlier accounts in the list send more of the requests. */
	readonly accounts: readonly LoadAccount[];
	/** Model name, or `model:adapter`. */
	readonly model: string;
	/** Plain service that takes bookings; absent: no bookings. */
	readonly bookingService?: string;
	/** Seed of the random arrivals and requests; default 1. */
	readonly seed?: number;
	/** Milliseconds over which requests arrive; default 10,000. */
	readonly durationMs?: number;
	/** Maximum number of requests; default 100,000. */
	readonly maxRequests?: number;
	/** Maximum number of concurrent requests; arrivals beyond it are counted as not sent; default 2,000. */
	readonly maxInFlight?: number;
	/** Arrivals a second; default 20. */
	readonly requestsPerSecond?: number;
	/** Share of bookings among the arrivals; default 0.2. */
	readonly bookingShare?: number;
	/** Share of questions that ask for a stream; default 0.9. */
	readonly streamShare?: number;
	/** Maximum retries of a booking, with the same key, when its response is lost or the outcome is unknown or not executed; default 0. */
	readonly bookingRepeats?: number;
	/** Maximum tokens of an answer; default 32. */
	readonly maxTokens?: number;
	/** Deadline of each request, in milliseconds; default 20,000. */
	readonly deadlineMs?: number;
	/** Number of plans, the first level of shared prompt prefixes; default 8. */
	readonly plans?: number;
	/** Prompt pieces of each plan; default 3. */
	readonly planPieces?: number;
	/** Number of sites below each plan, the second level of shared prefixes, with one piece each; default 6. */
	readonly sites?: number;
	/** Tokens of a prompt piece; default 2,000. */
	readonly pieceTokens?: number;
	/** Characters of prompt text per token; default 4. */
	readonly charsPerToken?: number;
	/** Milliseconds after which other plans become the most popular ones; default 10,000. */
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

/** Fills in the defaults of options that are absent or `undefined`. */
export function fillDefaults(options: LoadOptions): LoadSettings {
	const given = Object.fromEntries(Object.entries(options).filter(([, value]) => value !== undefined));
	return {...defaults, ...given as LoadOptions};
}
