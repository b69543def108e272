import * as callOutcome from './call-outcome.js';
import * as latencyRecorder from './latency-recorder.js';
import type * as lostCall from './lost-call.js';

/** Number of requests of one kind by outcome. */
export type OutcomeCounts = Readonly<Record<callOutcome.Outcome, number>> & {readonly sent: number};

/** A booking and the outcomes of its attempts. */
export type BookingRecord = {
	readonly account: string;
	readonly key: string;
	readonly order: string;
	/** Outcomes of the attempts, in order. */
	readonly tries: readonly callOutcome.CallOutcome[];
};

/** A request that was not answered in full. */
export type Failure = callOutcome.CallOutcome & {readonly request: string};

/** Result of a run, with the outcomes of all requests. */
export type LoadResult = {
	readonly seed: number;
	readonly questions: OutcomeCounts;
	readonly bookings: OutcomeCounts;
	/** Arrivals beyond the limit of concurrent requests. */
	readonly notSent: number;
	/** Refusals by error code. */
	readonly refusals: Readonly<Record<string, number>>;
	/** Time from the scheduled arrival to the first token of a stream. */
	readonly firstToken: latencyRecorder.LatencySummary;
	/** Time between tokens of a stream. */
	readonly tokenGap: latencyRecorder.LatencySummary;
	/** Time from the scheduled arrival to the end of an answer. */
	readonly total: latencyRecorder.LatencySummary;
	/** Time from the scheduled arrival to the response of a booking, with its retries. */
	readonly bookingTotal: latencyRecorder.LatencySummary;
	/** Prompt tokens of answered questions, and those of them that were cached. */
	readonly promptTokens: number;
	readonly cachedTokens: number;
	readonly failures: readonly Failure[];
	/** Attempts whose connection failed before a complete response arrived. */
	readonly lost: readonly lostCall.LostCall[];
	readonly bookingRecords: readonly BookingRecord[];
};

const maxFailures = 100;

/** Collects the outcomes and latencies of a run. */
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

	/** Counts a question that is sent. */
	recordQuestionSent(): void {
		this.#questionsSent += 1;
	}

	/** Counts a booking that is sent; its retries are not counted. */
	recordBookingSent(): void {
		this.#bookingsSent += 1;
	}

	/** Records an attempt that got no complete response. */
	addLostCall(call: lostCall.LostCall): void {
		this.#lost.push(call);
	}

	/** Records the outcome of a question. */
	addQuestion(request: string, outcome: callOutcome.CallOutcome): void {
		this.#questions.push(outcome);
		this.#addFailure(request, outcome);
	}

	/** Records the outcomes of a booking. */
	addBooking(record: BookingRecord): void {
		this.#bookings.push(record);
		this.#addFailure(record.key, record.tries.at(-1)!);
	}

	/** Returns the result of the run. */
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
