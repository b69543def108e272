import * as callOutcome from './call-outcome.js';
import * as latencyRecorder from './latency-recorder.js';
import type * as lostCall from './lost-call.js';

/** Counts of outcomes of one sort of requests. */
export type OutcomeCounts = Readonly<Record<callOutcome.Outcome, number>> & {readonly sent: number};

/** What a caller knows of one booking. */
export type BookingRecord = {
	readonly account: string;
	readonly key: string;
	readonly order: string;
	/** Outcomes of its tries, in order. */
	readonly tries: readonly callOutcome.CallOutcome[];
};

/** A request whose answer was wrong, lost or cut short. */
export type Failure = callOutcome.CallOutcome & {readonly request: string};

/** The account of every request of a run. */
export type LoadResult = {
	readonly seed: number;
	readonly questions: OutcomeCounts;
	readonly bookings: OutcomeCounts;
	/** Arrivals beyond the limit of requests under way. */
	readonly notSent: number;
	/** Refusals by error code. */
	readonly refusals: Readonly<Record<string, number>>;
	/** Times from the planned arrival to the first token of a stream. */
	readonly firstToken: latencyRecorder.LatencySummary;
	/** Times between tokens of a stream. */
	readonly tokenGap: latencyRecorder.LatencySummary;
	/** Times from the planned arrival to the end of an answer. */
	readonly total: latencyRecorder.LatencySummary;
	readonly bookingTotal: latencyRecorder.LatencySummary;
	/** Prompt tokens of streams and those that came from the cache. */
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly failures: readonly Failure[];
	/** Tries that were left without an answer. */
	readonly lost: readonly lostCall.LostCall[];
	readonly bookingRecords: readonly BookingRecord[];
};

const maxFailures = 100;

/** Gathers the account of a run. */
export class LoadResultBuilder {
	readonly firstToken = new latencyRecorder.LatencyRecorder();
	readonly tokenGap = new latencyRecorder.LatencyRecorder();
	readonly total = new latencyRecorder.LatencyRecorder();
	readonly bookingTotal = new latencyRecorder.LatencyRecorder();
	notSent = 0;
	readonly #questions: callOutcome.CallOutcome[] = [];
	readonly #bookings: BookingRecord[] = [];
	readonly #failures: Failure[] = [];
	readonly #lost: lostCall.LostCall[] = [];
	#questionsSent = 0;
	#bookingsSent = 0;

	constructor(private readonly seed: number) {}

	/** Notes that a question is sent. */
	recordQuestionSent(): void {
		this.#questionsSent += 1;
	}

	/** Notes that a booking is sent. */
	recordBookingSent(): void {
		this.#bookingsSent += 1;
	}

	/** Notes a try that was left without an answer. */
	addLostCall(call: lostCall.LostCall): void {
		this.#lost.push(call);
	}

	/** Notes the end of a question. */
	addQuestion(request: string, outcome: callOutcome.CallOutcome): void {
		this.#questions.push(outcome);
		this.#addFailure(request, outcome);
	}

	/** Notes the end of a booking. */
	addBooking(record: BookingRecord): void {
		this.#bookings.push(record);
		this.#addFailure(record.key, record.tries.at(-1)!);
	}

	/** Returns the account. */
	build(): LoadResult {
		const bookingOutcomes = this.#bookings.map(record => record.tries.at(-1)!);
		return {
			seed: this.seed,
			questions: countOutcomes(this.#questionsSent, this.#questions),
			bookings: countOutcomes(this.#bookingsSent, bookingOutcomes),
			notSent: this.notSent,
			refusals: countErrorCodes([...this.#questions, ...bookingOutcomes]),
			firstToken: this.firstToken.summarize(),
			tokenGap: this.tokenGap.summarize(),
			total: this.total.summarize(),
			bookingTotal: this.bookingTotal.summarize(),
			promptTokens: this.#questions.reduce((sum, outcome) => sum + (outcome.promptTokens ?? 0), 0),
			cachedTokens: this.#questions.reduce((sum, outcome) => sum + (outcome.cachedTokens ?? 0), 0),
			failures: this.#failures,
			lost: this.#lost,
			bookingRecords: this.#bookings,
		};
	}

	#addFailure(request: string, outcome: callOutcome.CallOutcome): void {
		if (outcome.outcome !== callOutcome.Outcome.Answered && this.#failures.length < maxFailures) {
			this.#failures.push({request, ...outcome});
		}
	}
}

function countOutcomes(sent: number, outcomes: readonly callOutcome.CallOutcome[]): OutcomeCounts {
	const names = Object.values(callOutcome.Outcome);
	const entries = names.map(name => [name, outcomes.filter(outcome => outcome.outcome === name).length] as const);
	return {sent, ...Object.fromEntries(entries) as Record<callOutcome.Outcome, number>};
}

function countErrorCodes(outcomes: readonly callOutcome.CallOutcome[]): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {code} of outcomes) {
		if (code !== undefined) {
			counts[code] = (counts[code] ?? 0) + 1;
		}
	}

	return counts;
}
